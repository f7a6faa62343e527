package local

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
)

// listenerNames are the keys of the addresses that a process prints once it listens.
var listenerNames = []string{"addr", "callers", "peers", "operators"}

const logMode = 0o644

// startProcess starts a program, appends its output to the log file NAME.log and waits until the
// program has printed the addresses that it listens on.
func startProcess(ctx context.Context, cfg Config, name, program string, args []string) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(cfg.Dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, logMode)
	if err != nil {
		return nil, err
	}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(cfg.Programs, program), args...)
	cmd.Stdout, cmd.Stderr = w, w
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	_ = w.Close() // the child process has its own copy
	p := &Process{Name: name, LogFile: logFile.Name(), cmd: cmd, exited: make(chan struct{})}
	ready := make(chan map[string]netip.AddrPort, 1)
	go p.copyLog(r, logFile, ready)
	select {
	case p.Addrs = <-ready:
		return p, nil
	case <-p.exited:
		text, _ := os.ReadFile(logFile.Name())
		return nil, fmt.Errorf("%s exited during start: %w: %s", name, p.exitErr, text)
	case <-ctx.Done():
		return nil, fmt.Errorf("%s does not listen yet: %w: %w", name, ctx.Err(), p.Kill())
	}
}

// copyLog copies the output of a process to its log file until the process exits, and sends the
// first addresses that it prints to ready.
func (p *Process) copyLog(r io.ReadCloser, logFile *os.File, ready chan<- map[string]netip.AddrPort) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, 1<<20)
	sent := false
	for scan.Scan() {
		_, _ = fmt.Fprintln(logFile, scan.Text()) // not checked: a full disk shows as a truncated log
		if addrs := parseAddrs(scan.Text()); !sent && len(addrs) > 0 {
			sent = true
			ready <- addrs
		}
	}
	p.exitErr = p.cmd.Wait()
	_ = logFile.Close()
	_ = r.Close()
	close(p.exited)
}

// parseAddrs returns the name=IP:PORT pairs of a log line that announces listeners, nil for any
// other line.
func parseAddrs(line string) map[string]netip.AddrPort {
	addrs := map[string]netip.AddrPort{}
	if !strings.Contains(line, "msg=serving") && !strings.HasPrefix(line, "addr=") {
		return nil
	}
	for _, field := range strings.Fields(line) {
		key, value, _ := strings.Cut(field, "=")
		for _, name := range listenerNames {
			if addr, err := netip.ParseAddrPort(value); key == name && err == nil {
				addrs[key] = addr
			}
		}
	}
	return addrs
}

// Process is one process of the system.
type Process struct {
	Name       string
	DataCentre string                    // only set for an entry
	Addrs      map[string]netip.AddrPort // keyed by the name of the listener
	LogFile    string
	cmd        *exec.Cmd
	ended      atomic.Bool // by a call of Kill, Terminate or DumpGoroutines
	exited     chan struct{}
	exitErr    error
}

// URL returns the base URL of the named listener, or of the only listener of a stand-in.
func (p *Process) URL(listener ...string) string {
	key := "addr"
	if len(listener) > 0 {
		key = listener[0]
	}
	return "http://" + p.Addrs[key].String()
}

// OSProcess returns the process of the operating system, for example to send it signals.
func (p *Process) OSProcess() *os.Process { return p.cmd.Process }

// Freeze suspends the process with SIGSTOP until Resume.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which asks the process for a planned stop.
func (p *Process) Terminate() error {
	p.ended.Store(true)
	return p.cmd.Process.Signal(syscall.SIGTERM)
}

// Exited returns a channel that is closed once the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Err returns the error of the exited process, nil for exit code 0. It is valid once Exited is
// closed.
func (p *Process) Err() error { return p.exitErr }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	if p.HasExited() {
		return nil
	}
	p.ended.Store(true)
	err := p.cmd.Process.Kill()
	<-p.exited
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// raceReport begins a report of the race detector.
const raceReport = "WARNING: DATA RACE"

// checkRun returns an error if the process has exited by itself or has reported a data race.
func (p *Process) checkRun() error {
	var errs []error
	if p.HasExited() && !p.ended.Load() {
		errs = append(errs, fmt.Errorf("%s exited by itself with %s; see %s", p.Name, p.cmd.ProcessState, p.LogFile))
	}
	raced, err := p.LogContains(raceReport)
	if raced {
		errs = append(errs, fmt.Errorf("%s reported a data race; see %s", p.Name, p.LogFile))
	}
	return errors.Join(append(errs, err)...)
}

// DumpGoroutines makes the process write the stacks of its goroutines to its log and exit.
func (p *Process) DumpGoroutines(ctx context.Context) error {
	if p.HasExited() {
		return nil
	}
	p.ended.Store(true)
	if err := errors.Join(p.Resume(), p.cmd.Process.Signal(syscall.SIGQUIT)); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s has not written its goroutines: %w", p.Name, ctx.Err())
	}
}
