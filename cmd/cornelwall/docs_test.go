package main

import (
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"cornelwall"
)

// readPage reads a page of the docs.
func readPage(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("../..", name))
	assert.NilError(t, err)
	return string(b)
}

// findNames returns the sorted matches of the pattern's first group in the text.
func findNames(text, pattern string) []string {
	set := map[string]bool{}
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		set[m[1]] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// textBetween returns the text between from and to.
func textBetween(t *testing.T, text, from, to string) string {
	t.Helper()
	_, rest, ok := strings.Cut(text, from)
	assert.Assert(t, ok, "no %q", from)
	got, _, ok := strings.Cut(rest, to)
	assert.Assert(t, ok, "no %q", to)
	return got
}

// collectFlags adds the flags and environment variables of a command and its subcommands.
func collectFlags(c *cli.Command, flags, envs map[string]bool) {
	for _, f := range c.Flags {
		flags["--"+f.Names()[0]] = true
		for _, e := range f.(cli.DocGenerationFlag).GetEnvVars() {
			envs[e] = true
		}
	}
	for _, sub := range c.Commands {
		collectFlags(sub, flags, envs)
	}
}

// TestDocs checks that the pages list exactly the flags, environment variables, exit codes, fields,
// reasons and outcomes that exist.
func TestDocs(t *testing.T) {
	operators, callers := readPage(t, "docs/operators.md"), readPage(t, "docs/callers.md")
	flags, envs := map[string]bool{}, map[string]bool{}
	collectFlags(app(), flags, envs)
	assert.DeepEqual(t, findNames(operators, "`(--[a-z-]+)`"), slices.Sorted(maps.Keys(flags)))
	assert.DeepEqual(t, findNames(operators, "`(CORNELWALL_[A-Z_]+)`"), slices.Sorted(maps.Keys(envs)))

	var codes strings.Builder
	for _, e := range exitCodes {
		fmt.Fprintf(&codes, "| %d | %s |\n", e.code, e.meaning)
	}
	assert.Assert(t, strings.Contains(operators, codes.String()), codes.String())

	fields := findNames(textBetween(t, operators, "| field | values |", "\n\n"), "(?m)^\\| `([a-z]+)`")
	assert.DeepEqual(t, fields, slices.Sorted(slices.Values(fieldNames())))

	reasons := findNames(textBetween(t, callers, "| reason | comes with |", "\n\n"), "(?m)^\\| `([a-z-]+)`")
	assert.DeepEqual(t, reasons, slices.Sorted(slices.Values(cornelwall.ReasonStrings())))
	outcomes := findNames(textBetween(t, callers, "| outcome | status |", "\n\n"), "(?m)^\\| `([a-z]+)`")
	assert.DeepEqual(t, outcomes, slices.Sorted(slices.Values(cornelwall.OutcomeStrings())))
}

// TestDocsPaths checks that every file and folder named in the pages exists.
func TestDocsPaths(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	assert.NilError(t, err)
	for _, p := range append(pages, "../../README.md", "../../CHANGELOG.md") {
		b, err := os.ReadFile(p)
		assert.NilError(t, err)
		for _, path := range findNames(string(b), "`((?:core|io|client|cmd|standin|examples|docs)/[a-z0-9_./-]+)`") {
			_, err := os.Stat(filepath.Join("../..", path))
			assert.NilError(t, err, p)
		}
		for _, link := range findNames(string(b), `\]\(([^):#]+)\)`) {
			_, err := os.Stat(filepath.Join(filepath.Dir(p), link))
			assert.NilError(t, err, p)
		}
	}
}

// TestDocsEventsAndMetrics checks that the log events and metrics listed in the operators' page
// occur in the code.
func TestDocsEventsAndMetrics(t *testing.T) {
	var code strings.Builder
	for _, root := range []string{"../../core", "../../io", "."} {
		assert.NilError(t, filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			b, err := os.ReadFile(path)
			code.Write(b)
			return err
		}))
	}
	operators := readPage(t, "docs/operators.md")
	events := textBetween(t, operators, "| event | meaning", "\n\n")
	metrics := textBetween(t, operators, "| metric | meaning", "\n\n")
	for _, name := range append(findNames(events, "`([a-z]+(?:-[a-z]+)*)`"), findNames(metrics, "`(?:cornelwall_)([a-z_]+)`")...) {
		assert.Assert(t, strings.Contains(code.String(), name), "%s is in the docs only", name)
	}
}

// TestHelpPages checks that every command has a help page with examples, in lines of at most 90
// bytes.
func TestHelpPages(t *testing.T) {
	var visit func(c *cli.Command)
	visit = func(c *cli.Command) {
		assert.Assert(t, c.Usage != "" && c.Description != "", "%s has no page", c.FullName())
		if c.Name != "cornelwall" {
			assert.Assert(t, strings.Contains(c.Description, "Examples:\n"), "%s has no examples", c.FullName())
		}
		for _, line := range strings.Split(c.Description, "\n") {
			assert.Assert(t, len(line) <= 90, "%s: %q is too long", c.FullName(), line)
		}
		for _, sub := range c.Commands {
			visit(sub)
		}
	}
	visit(app())
}
