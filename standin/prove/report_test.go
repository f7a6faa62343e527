package prove

import (
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cornelwall/standin/local"
)

// TestCrashIsReported guards against a scenario whose processes crash or race without notice.
func TestCrashIsReported(t *testing.T) {
	for _, tt := range []struct {
		name, want string
		fail       func(t *testing.T, p *local.Process)
	}{
		{"crash", "ikeja-entry-0 exited by itself", func(t *testing.T, p *local.Process) {
			assert.NilError(t, p.OSProcess().Signal(syscall.SIGABRT))
			<-p.Exited()
		}},
		{"data race", "ikeja-entry-0 reported a data race", func(t *testing.T, p *local.Process) {
			f, err := os.OpenFile(p.LogFile, os.O_WRONLY|os.O_APPEND, 0)
			assert.NilError(t, err)
			_, err = f.WriteString("WARNING: DATA RACE\n")
			assert.NilError(t, err)
			assert.NilError(t, f.Close())
		}},
		{"killed by the scenario", "", func(t *testing.T, p *local.Process) { assert.NilError(t, p.Kill()) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := local.Config{Programs: programsDir, Dir: t.TempDir(), DataCentres: []string{"ikeja"}, Entries: 1}
			sys, err := local.Start(t.Context(), cfg)
			assert.NilError(t, err)
			tt.fail(t, sys.Entries[0])
			if err := sys.Stop(); tt.want == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, tt.want)
			}
		})
	}
}

// TestDumpGoroutines checks that a process that hangs tells where it does.
func TestDumpGoroutines(t *testing.T) {
	cfg := local.Config{Programs: programsDir, Dir: t.TempDir(), DataCentres: []string{"ikeja"}, Entries: 1}
	sys, err := local.Start(t.Context(), cfg)
	assert.NilError(t, err)
	p := sys.Entries[0]
	assert.NilError(t, p.Freeze())
	assert.NilError(t, p.DumpGoroutines(t.Context()))
	dumped, err := p.LogContains("main.main()")
	assert.NilError(t, err)
	assert.Assert(t, dumped)
	assert.NilError(t, sys.Stop())
}
