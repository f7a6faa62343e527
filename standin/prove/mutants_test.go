package prove

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cornelwall/standin/local"
)

const moduleRoot = "../.."

// edit replaces a text that occurs exactly once in a source file of the product.
type edit struct{ file, old, new string }

// mutant is a build of the product with one deliberate fault. Its scenario must fail with an error
// that contains want. Mutants with inEveryRun run in every test run, the others only with
// CORNELWALL_MUTANTS=all.
type mutant struct {
	name       string
	inEveryRun bool
	scenario   string
	want       string
	edits      []edit
}

// TestMutants checks that the scenarios detect faults: each mutant must make its scenario fail.
func TestMutants(t *testing.T) {
	for _, m := range mutants {
		if !m.inEveryRun && os.Getenv("CORNELWALL_MUTANTS") != "all" {
			continue
		}
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			i := slices.IndexFunc(scenarios, func(sc scenario) bool { return sc.name == m.scenario })
			assert.Assert(t, i >= 0, "no scenario %q", m.scenario)
			dir := m.build(t)
			_, err := runScenario(t, dir, scenarios[i])
			assert.ErrorContains(t, err, m.want)
			t.Logf("detected: %s", err)
		})
	}
}

// TestMutantEditsApply checks that the text that each mutant replaces still occurs in the source, also
// for mutants that do not run.
func TestMutantEditsApply(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) { m.overlay(t) })
	}
}

// build compiles the mutant and returns the directory of its programs.
func (m *mutant) build(t *testing.T) string {
	dir := t.TempDir()
	overlay := filepath.Join(dir, "overlay.json")
	b, err := json.Marshal(struct{ Replace map[string]string }{m.overlay(t)})
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(overlay, b, 0o600))
	assert.NilError(t, local.Build(t.Context(), dir, "-race", "-overlay", overlay))
	return dir
}

// overlay writes the edited files and returns their paths, keyed by the paths of the original files.
func (m *mutant) overlay(t *testing.T) map[string]string {
	root, err := filepath.Abs(moduleRoot)
	assert.NilError(t, err)
	dir := t.TempDir()
	replace := map[string]string{}
	for n, e := range m.edits {
		path := filepath.Join(root, e.file)
		from := path
		if changed, ok := replace[path]; ok {
			from = changed
		}
		text, err := os.ReadFile(from)
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(string(text), e.old), 1, "%s must contain exactly once: %s", e.file, e.old)
		changed := filepath.Join(dir, fmt.Sprintf("%d.go", n))
		assert.NilError(t, os.WriteFile(changed, []byte(strings.Replace(string(text), e.old, e.new, 1)), 0o600))
		replace[path] = changed
	}
	return replace
}
