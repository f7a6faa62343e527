package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/control"
	"cornelwall/core/node"
	"cornelwall/io/caller"
	"cornelwall/io/operator"
	"cornelwall/io/platform"
	standin "cornelwall/standin/platform"
)

const testToken = "token-of-the-tests"

// immediateEndpoints completes every task at once. A task with the body "fail" fails.
type immediateEndpoints struct{ loop *control.Loop }

func (e immediateEndpoints) Handle(cmd cornelwall.Command) {
	run, ok := cmd.(cornelwall.RunTask)
	if !ok {
		return
	}
	r := cornelwall.Result{Outcome: cornelwall.Done, Body: append([]byte("did "), run.Start.Body...)}
	if string(run.Start.Body) == "fail" {
		r = cornelwall.Result{Outcome: cornelwall.Failed, Reason: cornelwall.ReasonTask}
	}
	go e.loop.Post(cornelwall.TaskEnded{Attempt: run.Start.Attempt, Result: r})
}

// discardCommands ignores the commands to peers and the platform.
type discardCommands struct{}

func (discardCommands) Handle(cornelwall.Command) {}

// testEntry is an entry with a real core on a stand-in platform.
type testEntry struct {
	t             *testing.T
	answersToLose atomic.Int32 // number of responses to profile changes still to be lost
}

func newTestEntry(t *testing.T) *testEntry {
	r := &testEntry{t: t}
	addr := netip.MustParseAddrPort("127.0.0.1:7001")
	self := cornelwall.Incarnation{DataCentre: "ikeja", Entry: "e1", Epoch: 1}
	clock := cornelwall.SystemClock{}
	core := node.New(node.Config{Self: self, Addr: addr, Secret: []byte("secret-of-the-tests")}, clock.Now())
	loop := control.New(core, clock, logr.Discard())
	loop.Connect(discardCommands{}, immediateEndpoints{loop}, discardCommands{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = loop.Run(ctx) }()
	loop.Post(cornelwall.MachinesListed{VMs: []cornelwall.VM{
		{Name: "e1", Kind: cornelwall.Entry, DataCentre: "ikeja", Addr: addr},
		{Name: "x1", Kind: cornelwall.Executor, DataCentre: "ikeja", Addr: netip.MustParseAddrPort("127.0.0.1:7080"), Slots: 8},
	}})

	store := standin.New(standin.Config{})
	storeServer := httptest.NewServer(store)
	client := platform.New(platform.Config{URLs: []string{storeServer.URL}, Timeout: 5 * time.Second})
	operators := httptest.NewServer(r.loseAnswers(operator.New(loop, client, testToken, newChangeID, logr.Discard())))
	callers := httptest.NewServer(caller.New(loop))
	t.Cleanup(func() {
		callers.Close()
		operators.Close()
		cancel()
		<-loop.Done()
		store.Close()
		storeServer.Close()
	})
	t.Setenv("CORNELWALL_OPERATOR_ENTRIES", operators.URL)
	t.Setenv("CORNELWALL_CALLER_ENTRIES", callers.URL)
	t.Setenv("CORNELWALL_TOKEN", testToken)
	return r
}

// loseAnswers carries out every request, but aborts the response to a change while answersToLose is
// positive.
func (r *testEntry) loseAnswers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodGet || r.answersToLose.Add(-1) < 0 {
			h.ServeHTTP(w, req)
			return
		}
		h.ServeHTTP(httptest.NewRecorder(), req)
		panic(http.ErrAbortHandler)
	})
}

// runCommand runs the command and returns what it printed and its exit code.
func runCommand(t *testing.T, args ...string) (out, errs string, code int) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	c := app()
	c.Writer, c.ErrWriter = &stdout, &stderr
	if err := c.Run(context.Background(), append([]string{"cornelwall"}, args...)); err != nil {
		printError(&stderr, err)
		code = exitCode(err)
	}
	return stdout.String(), stderr.String(), code
}

// expectCommand runs the command and checks its exit code and that its output contains want.
func expectCommand(t *testing.T, code int, want string, args ...string) (out string) {
	t.Helper()
	out, errs, got := runCommand(t, args...)
	assert.Equal(t, got, code, "%q: %s%s", args, out, errs)
	assert.Assert(t, strings.Contains(out+errs, want), "%q: %s%s", args, out, errs)
	return out
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestProfileCommands(t *testing.T) {
	newTestEntry(t)
	v1 := writeFile(t, "holds.yaml", "name: holds\nteam: bookings\nqueue: 100\n")
	v2 := writeFile(t, "holds.yaml", "name: holds\nteam: bookings\nqueue: 200\nclass: urgent\n")
	both := writeFile(t, "both.yaml", "name: holds\nteam: bookings\n---\nname: checks\nteam: bookings\n")
	for _, tt := range []struct {
		code int
		want string
		args []string
	}{
		{exitInput, `profile "holds"`, []string{"show", "holds"}},
		{exitOK, "create  0        dry run", []string{"apply", "--dry-run", v1}},
		{exitInput, `profile "holds"`, []string{"show", "holds"}},
		{exitOK, "create  1        accepted", []string{"create", v1}},
		{exitConflict, "exists at version 1", []string{"create", v1}},
		{exitOK, "unchanged  1", []string{"apply", v1}},
		{exitOK, "class normal -> urgent, queue 100 -> 200", []string{"apply", "--dry-run", v2}},
		{exitConflict, "is at version 1, not 7", []string{"apply", "--expect", "7", v2}},
		{exitInput, "--expect goes with one profile", []string{"apply", "--expect", "1", both}},
		{exitOK, "version 2 is in force at all 1 entries", []string{"apply", "--expect", "1", "--wait", v2}},
		{exitOK, `"version": 2`, []string{"show", "--output", "json", "holds"}},
		{exitOK, "holds  2        in force", []string{"list"}},
		{exitOK, "ikeja        e1     2        in force", []string{"status", "holds"}},
		{exitOK, "version 2 is in force at all 1 entries", []string{"wait", "holds"}},
		{exitNotInForce, "0 of 1 entries have version 9; waiting for ikeja.e1", []string{"wait", "--version", "9", "--timeout", "300ms", "holds"}},
		{exitInput, "no such name", []string{"wait", "nothing"}},
		{exitInput, `"nothing" does not exist`, []string{"retire", "holds", "nothing"}},
		{exitOK, "retire  2        dry run", []string{"retire", "--dry-run", "holds"}},
		{exitOK, "version 3 is in force", []string{"retire", "--expect", "2", "--wait", "holds"}},
		{exitOK, "unchanged  3", []string{"retire", "holds"}},
		{exitConflict, `profile "holds" is retired; choose another name`, []string{"apply", both}},
		{exitInput, `profile "checks"`, []string{"show", "checks"}},
		{exitOK, "holds  3        retired", []string{"list", "--retired"}},
		{exitInput, "token is wrong", []string{"list", "--token", "another"}},
		{exitOK, "holds  3", []string{"list", "--retired", "--token", "", "--token-file", writeFile(t, "token", testToken+"\n")}},
		{exitInput, "--token is missing", []string{"list", "--token", ""}},
		{exitUnreachable, "entry did not answer", []string{"list", "--entry", "http://127.0.0.1:1"}},
		{exitInput, `command "aply" is unknown`, []string{"aply"}},
		{exitInput, `not defined: -dryrun`, []string{"apply", "--dryrun", v1}},
		{exitInput, "no profile is named", []string{"show"}},
		{exitInput, `--entry "e1" is not a URL; use http://ip:port` + "\ncornelwall: --timeout 0s", []string{"list", "--entry", "e1", "--timeout", "0s"}},
	} {
		expectCommand(t, tt.code, tt.want, append([]string{"profile"}, tt.args...)...)
	}
}

// TestChangeWithLostAnswer checks that a change whose response is lost is applied once, or is
// reported as unknown.
func TestChangeWithLostAnswer(t *testing.T) {
	r := newTestEntry(t)
	file := writeFile(t, "holds.yaml", "name: holds\nteam: bookings\n")
	r.answersToLose.Store(2)
	expectCommand(t, exitOK, "create  1        accepted", "profile", "apply", file)
	r.answersToLose.Store(1)
	expectCommand(t, exitOK, "retire  2        accepted", "profile", "retire", "holds")
	r.answersToLose.Store(1 << 20)
	other := writeFile(t, "checks.yaml", "name: checks\nteam: bookings\n")
	expectCommand(t, exitUnknown, "whether the change was accepted is not known", "profile", "apply", "--timeout", "600ms", other)
	r.answersToLose.Store(0)
	expectCommand(t, exitOK, "checks  1", "profile", "show", "checks")

	t.Setenv("CORNELWALL_OPERATOR_ENTRIES", "http://127.0.0.1:1,"+os.Getenv("CORNELWALL_OPERATOR_ENTRIES"))
	expectCommand(t, exitOK, "retire  2        accepted", "profile", "retire", "checks")
	expectCommand(t, exitOK, "checks  2        retired", "profile", "list", "--retired")
}

func TestJobCommands(t *testing.T) {
	newTestEntry(t)
	expectCommand(t, exitOK, "accepted", "profile", "apply", writeFile(t, "holds.yaml", "name: holds\nteam: bookings\n"))
	out := expectCommand(t, exitOK, "did a, b", "job", "submit", "--profile", "holds", "--task", "a, b", "--task", "c")
	assert.Assert(t, strings.Contains(out, "1     done     -       did c"), out)
	expectCommand(t, exitOK, "did x", "job", "submit", writeFile(t, "job.json", `{"profile":"holds","tasks":[{"body":"eA=="}]}`))
	expectCommand(t, exitFailed, "0     failed   task", "job", "submit", "--profile", "holds", "--task", "fail")
	expectCommand(t, exitNotRun, "no-profile", "job", "submit", "--profile", "nothing", "--task", "x")
	expectCommand(t, exitUnreachable, "entry did not answer", "job", "submit", "--profile", "holds", "--task", "x",
		"--entry", "http://127.0.0.1:1", "--timeout", "300ms")
	expectCommand(t, exitInput, "job.json:2: not a job", "job", "submit", writeFile(t, "job.json", "{\"profile\":\"holds\",\n\"taks\":[]}"))
	expectCommand(t, exitInput, "tasks has 0 entries", "job", "submit", writeFile(t, "job.json", `{"profile":"holds"}`))

	tickets := strings.Fields(expectCommand(t, exitOK, "ikeja.e1", "tickets", "draw", "--profile", "holds", "--count", "2"))
	assert.Equal(t, len(tickets), 2)
	expectCommand(t, exitOK, "pending", "job", "show", tickets[0])
	expectCommand(t, exitOK, "did once", "job", "submit", "--ticket", tickets[0], "--profile", "holds", "--task", "once")
	expectCommand(t, exitOK, "did once", "job", "show", "--wait", tickets[0])
	expectCommand(t, exitInput, "other content", "job", "submit", "--ticket", tickets[0], "--profile", "holds", "--task", "twice")
	expectCommand(t, exitOK, "cancelled", "job", "cancel", tickets[1])
	expectCommand(t, exitNotRun, "cancelled", "job", "submit", "--ticket", tickets[1], "--profile", "holds", "--task", "x")
	expectCommand(t, exitInput, "has 1 parts", "job", "show", "x")
	expectCommand(t, exitInput, "--count 0 is out of range", "tickets", "draw", "--profile", "holds", "--count", "0")
}

func TestCheck(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"a.yaml":    "name: Seat Holds\nteam: b\nclass: first\ndeadline: 5x\nqueue: [1]\nquta: 3\nteam: c\n",
		"b.yml":     "name: holds\nquota: 9999\ndeadline: 3h\n---\nname: holds\nteam: t\n",
		"c.yaml":    "name: holds\n  team: b\n",
		"d.yaml":    "- a\n",
		"readme.md": "not a profile",
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	_, errs, code := runCommand(t, "check", dir)
	assert.Equal(t, code, exitInput)
	assert.Equal(t, strings.ReplaceAll(errs, dir+"/", ""), `cornelwall: a.yaml:3: class "first" is unknown; use batch, normal, urgent
cornelwall: a.yaml:4: duration "5x" is not valid; write a number with a unit, such as "250ms" or "2s"
cornelwall: a.yaml:5: queue does not take such a value; docs/operators.md lists the values of each field
cornelwall: a.yaml:6: field "quta" is unknown; use name, team, class, deadline, queue, concurrency, quota, idempotent, stale
cornelwall: a.yaml:7: field "team" is set in line 2 too; keep one
cornelwall: a.yaml:1: name "Seat Holds" contains 'S'; use only a-z, 0-9 and "-"
cornelwall: b.yml:1: team "" has 0 characters; use 1 to 63
cornelwall: b.yml:3: deadline 3h0m0s is out of range; use more than 0s and at most 1h0m0s
cornelwall: b.yml:2: quota 9999 is out of range; use 1 to 1000
cornelwall: c.yaml:1: not YAML: mapping value is not allowed in this context
cornelwall: d.yaml:1: not a profile; write fields such as "name: seat-holds"
cornelwall: b.yml:5: profile "holds" is declared at b.yml:1 too; keep one
`)
	expectCommand(t, exitOK, "allocation-recalculations", "check", "../../examples/profiles")
	expectCommand(t, exitInput, "nothing to check", "check")

	settings := writeFile(t, "e.env", "# comment\n\nCORNELWALL_DC=Ikeja\nCORNELWALL_STOP_TIMEOUT=5x\nCORNELWALL_STROE=http://x\nname\n")
	for _, want := range []string{`e.env:4: invalid value "5x"`, "e.env:5: CORNELWALL_STROE is unknown", `e.env:6: no "="`} {
		expectCommand(t, exitInput, want, "check", "--settings", settings)
	}
	t.Setenv("CORNELWALL_NAME", "from-the-environment")
	expectCommand(t, exitInput, `e.env: --name "" has 0 characters`, "check", "--settings", writeFile(t, "e.env", "CORNELWALL_DC=ikeja\n"))
	expectCommand(t, exitOK, "settings", "check", "--settings", writeFile(t, "e.env", "CORNELWALL_NAME=e1\nCORNELWALL_DC=ikeja\n"+
		"CORNELWALL_STORE=http://10.0.0.1:2379\nCORNELWALL_VMS=http://10.0.0.1/vms\n"+
		"CORNELWALL_SECRET=0123456789abcdef\nCORNELWALL_TOKEN=fedcba9876543210\n"))
}

func TestServeSettings(t *testing.T) {
	expectCommand(t, exitInput, "--store is missing", "serve")
	expectCommand(t, exitInput, `--callers "here" is not an address`, "serve", "--callers", "here")
}

func TestVersion(t *testing.T) {
	expectCommand(t, exitOK, "go1.", "version")
}
