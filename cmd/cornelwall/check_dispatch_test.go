package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCheckDispatchFiles guards against exit codes on which CI passes a configuration with errors, or stops at
// one with warnings, and against places that do not lead to the field.
func TestCheckDispatchFiles(t *testing.T) {
	queue := `{"name": "holds", "host": "seats.example", "prefix": "/holds/", "service": "seats", "timeoutMs": 1500, "attempts": 4, "priority": 0, "stretch": 1.6}`
	profiles, err := filepath.Abs("../../examples/profiles")
	assert.NilError(t, err)
	t.Chdir(t.TempDir())
	write := func(name, text string) string {
		assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
		return name
	}
	run := func(code int, args ...string) (out, errs string) {
		t.Helper()
		out, errs, got := runCommand(t, append([]string{"check"}, args...)...)
		assert.Equal(t, got, code, "%q: %s%s", args, out, errs)
		return out, errs
	}
	inForce := write("old.json", `{"version": 7, "routes": [`+queue+`], "services": [{"name": "seats"}]}`)
	warned := write("new.json", "{\"version\": 8, \"routes\": [\n"+strings.Replace(queue, `"priority": 0, `, `"targetDurationMs": 60, `, 1)+`], "services": [{"name": "seats"}]}`)
	wrong := write("wrong.json", "{\"version\": 7, \"routes\": [\n"+strings.Replace(queue, `"attempts": 4`, `"attempts": "4"`, 1)+",\n"+queue+`], "services": []}`)

	out, errs := run(exitOK, "--queues", inForce, "--against", inForce)
	assert.Equal(t, out+errs, "CHECKED\nqueues old.json\nagainst old.json\n\nCHANGE  OBJECT  NAME  FIELD  BEFORE  AFTER\nnone    -       -     -      -       -\n")
	out, errs = run(exitOK, "--queues", warned, "--against", inForce)
	assert.Equal(t, out+errs, `CHECKED
queues new.json
against old.json

SEVERITY  FILE        PLACE               QUEUE  PROBLEM                                                        REMEDY
warning   new.json:2  routes[0].priority  holds  no priority is set, so that the queue gets the highest one, 0  set the priority

CHANGE   OBJECT         NAME   FIELD             BEFORE  AFTER
changed  configuration  -      version           7       8
changed  queue          holds  targetDurationMs  0s      60ms
`)
	out, errs = run(exitInput, "--queues", wrong, "--against", inForce, "--output", "json")
	assert.Equal(t, errs, "cornelwall: errors: 6, warnings: 0; correct the errors before the files are used\n")
	for _, want := range []string{
		`"file": "wrong.json",
      "severity": "error",
      "place": {
        "path": "routes[0].attempts",
        "line": 2
      },
      "text": "the value is the text \"4\"",
      "remedy": "write a whole number"`,
		`routes[0].name has the name \"holds\" too`, `routes[0].prefix has the same host and prefix`,
		`service \"seats\" is not listed`, `version 7 is in force with other content`, `"kind": "removed",
      "object": "service",
      "name": "seats"`} {
		assert.Assert(t, strings.Contains(out, want), "%s\n%s", want, out)
	}

	settings := "node = \"e1\"\nzone = \"ikeja\"\nseeds = [\"10.1.0.2:3\"]\nplatform.address = \"10.0.0.1:9\"\n" +
		"[listen]\nfrontend = \"10.1.0.1:1\"\nreadiness = \"10.1.0.1:2\"\ncontrol = \"10.1.0.1:3\"\n[limits]\nmemoryMb = 284\ncpuShare = 0.2\n[bounds]\n"
	out, errs = run(exitOK, "--dispatch-settings", write("e1.toml", settings), profiles)
	assert.Assert(t, strings.Contains(out, "settings of dispatch e1.toml") && strings.Contains(out, "profile "), out+errs)
	out, errs = run(exitInput, "--dispatch-settings", write("e1.toml", settings+"drainMs = 7000\ngraceS = 2.5\nmaxHoldMs = 300\n"))
	assert.Assert(t, strings.Contains(errs, "errors: 3, warnings: 0"), errs)
	for _, want := range []string{"e1.toml:13  bounds.drainMs", "e1.toml:14  bounds.graceS", "e1.toml:15  bounds.maxHoldMs"} {
		assert.Assert(t, strings.Contains(out, want), out)
	}
	_, errs = run(exitInput, "--queues", inForce, write("a.yaml", "name: holds\n"))
	assert.Assert(t, strings.Contains(errs, `a.yaml:1: team ""`), errs)

	for _, tt := range []struct {
		want string
		args []string
	}{
		{"--against goes with --queues", []string{"--against", inForce}},
		{"stdin can be read once", []string{"--queues", "-", "--against", "-"}},
		{"no such file", []string{"--queues", "none.json"}},
		{"is a directory", []string{"--dispatch-settings", "."}},
		{"more than 16777216 bytes", []string{"--queues", write("huge", strings.Repeat(" ", maxCheckedFile+1))}},
	} {
		expectCommand(t, exitInput, tt.want, append([]string{"check"}, tt.args...)...)
	}
}
