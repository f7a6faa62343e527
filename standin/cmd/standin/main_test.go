package main

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cornelwall/io/platform"
)

const runMain = "STANDIN_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// launch runs the program and returns its address and a function that asks it to
// end and returns how it ended.
func launch(t *testing.T, args ...string) (addr string, end func() error) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMain+"=1")
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	addr, ok := strings.CutPrefix(strings.TrimSpace(line), "addr=")
	assert.Assert(t, ok, line)
	return addr, func() error {
		assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
		return cmd.Wait()
	}
}

func TestProcesses(t *testing.T) {
	base, endPlatform := launch(t, "platform", "--addr", "127.0.0.1:0")
	base = "http://" + base
	x, endExecutor := launch(t, "executor", "--name", "x1", "--dc", "ikeja", "--slots", "3", "--platform", base)
	w, endWorker := launch(t, "worker", "--name", "w1", "--dc", "ikeja", "--rack", "r1", "--cores", "5", "--platform", base)
	l := platform.NewVMList(platform.ListConfig{URL: base + "/vms"})
	defer l.Close()
	vms, err := l.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 2)
	assert.Equal(t, vms[0].Slots, 3)
	assert.Equal(t, vms[0].Addr.String(), x)
	assert.Equal(t, vms[1].Room.Cores, 5)
	assert.Equal(t, vms[1].Addr.String(), w)
	resp, err := http.Get("http://" + x + "/health")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, endWorker())
	assert.NilError(t, endExecutor())
	assert.NilError(t, endPlatform())
}
