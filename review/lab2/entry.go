package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	secret      = "replace-this-shared-secret" // of the deploy file
	metricsPort = "7990"                       // of the deploy file; each entry has an address of its own
)

// entry is a machine that runs the command of the deploy file.
type entry struct {
	name, zone                       string
	ip, frontend, readiness, control string
	access                           *access // its way to the store
	store                            string  // address at which it reaches the store
	settings, program, logs          string
	rec                              *record

	mu  sync.Mutex
	cmd *exec.Cmd
}

// writeSettings writes the settings file.
func (e *entry) writeSettings(at site, zones, seeds []string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\nrole = \"entry\"\nmachineClass = \"edge\"\nserves = [\"edge\",\"control\"]\nip = %q\nzone = %q\nregion = \"r\"\n", e.name, e.ip, e.zone)
	fmt.Fprintf(&b, "portRange = [7720,7735]\nseeds = [\"%s\"]\nbootstrap = true\ninTolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\norders = \"rpc\"\n", strings.Join(seeds, `","`))
	fmt.Fprintf(&b, "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\n[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = \"r\"\n", z)
	}
	fmt.Fprintf(&b, "[listen]\nfrontend = %q\nreadiness = %q\ncontrol = %q\n", e.frontend, e.readiness, e.control)
	b.WriteString(`[limits]
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
graceS = 6
lossSlackMs = 200
rollbackSlackMs = 250
recoveryS = 12
maxHoldMs = 1000
stopMs = 50
retryDelayMs = 1300
`)
	for name, d := range map[string]time.Duration{
		"ackMs": at.ack, "drainMs": at.drain, "configApplyMs": at.configApply, "cancel_ms": at.cancel, "stableWindowMs": at.stableWindow,
	} {
		fmt.Fprintf(&b, "%s = %d\n", name, d.Milliseconds())
	}
	b.WriteString(`[platform]
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`)
	fmt.Fprintf(&b, "address = %q\n", e.store)
	return os.WriteFile(e.settings, []byte(b.String()), 0o644)
}

// start starts the process.
func (e *entry) start() error {
	cmd := exec.Command(e.program, "dispatch")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(e.settings), "LANG=C",
		"CORNELWALL_NODE_FILE=" + e.settings, "CORNELWALL_SECRET=" + secret, "CORNELWALL_METRICS_PORT=" + metricsPort}
	if e.logs != "" {
		f, err := os.OpenFile(filepath.Join(e.logs, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // the process has its own descriptor
		cmd.Stdout, cmd.Stderr = f, f
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	e.cmd = cmd
	e.mu.Unlock()
	e.rec.add("%s: started", e.name)
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(sig syscall.Signal) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return errors.New("no process")
	}
	e.rec.add("%s: %s", e.name, sig)
	return e.cmd.Process.Signal(sig)
}

// kill ends the process and waits for its end.
func (e *entry) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Kill() // it may have ended already
	_ = e.cmd.Wait()         // reports the kill
	e.cmd = nil
	e.rec.add("%s: killed", e.name)
}

// stop stops the process as planned, and kills it after grace. It reports whether that was needed.
func (e *entry) stop(grace time.Duration) (killed bool, err error) {
	if err := e.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	e.mu.Lock()
	cmd := e.cmd
	e.cmd = nil
	e.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ended does not matter
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(grace):
		killed = true
		_ = cmd.Process.Kill() // it may have ended just now
		<-ended
	}
	e.rec.add("%s: ended", e.name)
	return killed, nil
}

// ready reports whether the readiness check succeeds.
func (e *entry) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + e.readiness + "/cornelwall/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the body does not matter
	return resp.StatusCode == http.StatusOK
}

// listening reports whether the callers' port accepts connections.
func (e *entry) listening() bool {
	c, err := net.DialTimeout("tcp", e.frontend, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close() // only the connection mattered
	return true
}
