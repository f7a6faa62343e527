package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	program    = "target/cornelwall"
	settleTime = 4 * time.Second
)

// entry is a process of the program, with the ports that it has listened on since its first start.
type entry struct {
	name, zone, ip string
	frontend       string
	readiness      string
	control        string
	metrics        string // at the address of control
	settings       string // path of its settings file
	logs           *os.File
	rec            *record
	cmd            *exec.Cmd
	ended          chan struct{}
}

// writeSettings writes the settings file of an entry.
func (e *entry) writeSettings(zones, seeds []string, storeAddr string) error {
	var b strings.Builder
	fmt.Fprintf(&b, `node = %q
role = "entry"
machineClass = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = "r"
portRange = [7720,7735]
seeds = ["%s"]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "rpc"
[zones]
`, e.name, e.ip, e.zone, strings.Join(seeds, `","`))
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = \"r\"\n", z)
	}
	fmt.Fprintf(&b, `[listen]
frontend = %q
readiness = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
maxHoldMs = 1000
stopMs = 50
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
requireFencing = false
leaseMs = 3000
retryDelayMs = 1300
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`, e.frontend, e.readiness, e.control, storeAddr)
	return os.WriteFile(e.settings, []byte(b.String()), 0o600)
}

// start starts the process as the deploy file does.
func (e *entry) start() error {
	e.cmd = exec.Command(program, "dispatch")
	e.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(e.settings), "LANG=C.UTF-8", "CORNELWALL_NODE_FILE=" + e.settings,
		"CORNELWALL_SECRET=replace-this-shared-secret", "CORNELWALL_METRICS_PORT=" + e.metrics[strings.LastIndexByte(e.metrics, ':')+1:], "CORNELWALL_SHED=true",
		"CORNELWALL_PLACE_BY_SPEED=true",
	}
	e.cmd.Stdout, e.cmd.Stderr = e.logs, e.logs
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.rec.add("entry %s starts", e.name)
	e.ended = make(chan struct{})
	go func() {
		defer close(e.ended)
		_ = e.cmd.Wait() // how it ends is not judged
	}()
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(sig syscall.Signal) error {
	e.rec.add("entry %s gets %s", e.name, sig)
	return e.cmd.Process.Signal(sig)
}

// kill ends the process at once and waits for its end.
func (e *entry) kill() error {
	if err := e.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-e.ended
	return nil
}

// awaitReady waits until the readiness check succeeds.
func (e *entry) awaitReady(ctx context.Context) error {
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.readiness+"/cornelwall/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				e.rec.add("entry %s is ready", e.name)
				return nil
			}
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return fmt.Errorf("entry %s is not ready: %w", e.name, err)
		}
	}
}
