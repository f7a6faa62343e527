package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cornelwall/io/platform"
)

const runMainEnv = "STANDIN_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// startProgram runs the program and returns its address and a function that sends it SIGTERM and
// returns the error of its exit.
func startProgram(t *testing.T, args ...string) (addr string, stop func() error) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMainEnv+"=1")
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

// TestProcesses checks that an executor and a worker register in the VM list, and that SIGTERM lets
// requests in flight finish.
func TestProcesses(t *testing.T) {
	base, stopPlatform := startProgram(t, "platform", "--addr", "127.0.0.1:0")
	base = "http://" + base
	x, stopExecutor := startProgram(t, "executor", "--name", "x1", "--dc", "ikeja", "--slots", "3", "--platform", base)
	w, stopWorker := startProgram(t, "worker", "--name", "w1", "--dc", "ikeja", "--rack", "r1", "--cores", "5", "--platform", base)
	l := platform.NewVMList(platform.VMListConfig{URL: base + "/vms"})
	defer l.Close()
	vms, err := l.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 2)
	assert.Equal(t, vms[0].Slots, 3)
	assert.Equal(t, vms[0].Addr.String(), x)
	assert.Equal(t, vms[1].Capacity.Cores, 5)
	assert.Equal(t, vms[1].Addr.String(), w)
	resp, err := http.Get("http://" + x + "/health")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	answers := make(chan string, 1)
	go func() { answers <- post("http://"+x+"/run", `{"sleep":"300ms","echo":"whole"}`) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !strings.Contains(get("http://"+x+"/starts"), "/0") {
			return poll.Continue("task has not started")
		}
		return poll.Success()
	})
	assert.NilError(t, stopExecutor())
	assert.Equal(t, <-answers, "whole", "a planned stop must not cut off a request")
	assert.NilError(t, stopWorker())
	watch, err := http.Post(base+"/v3/watch", "application/json", strings.NewReader(`{"create_request":{"key":"YQ=="}}`))
	assert.NilError(t, err)
	assert.NilError(t, stopPlatform())
	assert.NilError(t, watch.Body.Close())
}

func post(url, body string) string {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	r.Header.Set("Cornelwall-Task", "0")
	return answer(http.DefaultClient.Do(r))
}

func get(url string) string { return answer(http.Get(url)) }

func answer(resp *http.Response, err error) string {
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}
