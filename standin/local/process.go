package local

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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
