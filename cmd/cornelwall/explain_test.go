package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

const explainedLog = `time=2026-03-01T06:00:00.100Z level=INFO msg=batch entry=dc0.e1.1 job=aa queue=q version=1 tasks=2 left=2s due=150ms
not a line
time=2026-03-01T06:00:00.400Z level=INFO msg=batch-end entry=dc0.e1.1 job=aa queue=q end=given-up why=too-late begun=true rest=0.5 took=300ms late=150ms waited=300ms ran=0s estimate=90ms
`

// explainLog runs "cornelwall explain" with the arguments before the name of a file with explainedLog.
func explainLog(t *testing.T, args ...string) (stdout, stderr string, err error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "e1.log")
	assert.NilError(t, os.WriteFile(file, []byte(explainedLog), 0o600))
	cmd := app()
	var out, errs bytes.Buffer
	cmd.Writer, cmd.ErrWriter = &out, &errs
	err = cmd.Run(context.Background(), append(append([]string{"cornelwall", "explain"}, args...), file))
	return out.String(), errs.String(), err
}

func TestExplainBatch(t *testing.T) {
	out, errs, err := explainLog(t, "aa")
	assert.NilError(t, err)
	assert.Equal(t, out, `TIME          ENTRY   EVENT      FIELDS
06:00:00.100  dc0.e1  batch      job=aa queue=q version=1 tasks=2 left=2s due=150ms
06:00:00.400  dc0.e1  batch-end  job=aa queue=q end=given-up why=too-late begun=true rest=0.5 took=300ms late=150ms waited=300ms ran=0s estimate=90ms
06:00:00.100  dc0.e1  cause      backlog
`)
	assert.Assert(t, bytes.Contains([]byte(errs), []byte("1 lines cannot be read; the first is ")), errs)
}

func TestExplainLosses(t *testing.T) {
	out, _, err := explainLog(t, "--losses")
	assert.NilError(t, err)
	assert.Equal(t, out, "QUEUE  CAUSE         LATE  UNSERVED\nq      backlog       0     1\nall    of 1 batches  0     1\n")
	out, _, err = explainLog(t, "--losses", "--csv")
	assert.NilError(t, err)
	assert.Equal(t, out, "second,queue,cause,late,unserved\n2026-03-01T06:00:00Z,q,backlog,0,1\n")
}

func TestExplainUsageErrors(t *testing.T) {
	for _, args := range [][]string{{}, {"--csv", "aa"}, {"bb"}} {
		_, _, err := explainLog(t, args...)
		assert.Equal(t, exitCode(err), exitCode(usageError(err)), "%v: %v", args, err)
	}
}
