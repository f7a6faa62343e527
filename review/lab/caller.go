package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// All addresses are loopback ones, so that an executor can't tell the machine of a caller by its
// address. It is told by the process that has the other end of the connection.

const (
	resolveInterval = 50 * time.Millisecond // between two looks at the system's table of connections, which may be long
	resolveTimeout  = 2 * time.Second
)

type callerKey struct{}

// connCaller is the entry that has the other end of a connection.
type connCaller struct {
	port int

	mu   sync.Mutex
	name string // "" while it is not known
}

func (c *connCaller) known() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.name
}

// await returns the name of the entry, or "unknown" if it isn't found in time.
func (c *connCaller) await() string {
	for until := time.Now().Add(resolveTimeout); c.known() == "" && time.Now().Before(until); {
		time.Sleep(tick)
	}
	if name := c.known(); name != "" {
		return name
	}
	return "unknown"
}

// callers finds out which entries have the connections to executors, without holding up the requests on
// them.
type callers struct {
	mu      sync.Mutex
	pending []*connCaller
	running bool
}

// withCaller remembers the connection of a request.
func (l *lab) withCaller(ctx context.Context, c net.Conn) context.Context {
	caller := &connCaller{port: c.RemoteAddr().(*net.TCPAddr).Port}
	if l.anonymous {
		caller.name = "unknown"
		return context.WithValue(ctx, callerKey{}, caller)
	}
	l.callers.mu.Lock()
	defer l.callers.mu.Unlock()
	l.callers.pending = append(l.callers.pending, caller)
	if !l.callers.running {
		l.callers.running = true
		go l.resolveCallers()
	}
	return context.WithValue(ctx, callerKey{}, caller)
}

// callerOf returns the caller of a request to an executor.
func callerOf(r *http.Request) *connCaller { return r.Context().Value(callerKey{}).(*connCaller) }

// resolveCallers looks up the pending connections until none is left.
func (l *lab) resolveCallers() {
	tries := int(resolveTimeout / resolveInterval)
	for try := map[*connCaller]int{}; ; time.Sleep(resolveInterval) {
		l.callers.mu.Lock()
		pending := l.callers.pending
		l.callers.pending = nil
		if len(pending) == 0 {
			l.callers.running = false
			l.callers.mu.Unlock()
			return
		}
		l.callers.mu.Unlock()
		inodes, entries := inodesByPort(), l.entriesByInode()
		for _, c := range pending {
			name := entries[inodes[c.port]]
			if try[c]++; name == "" && try[c] < tries {
				l.callers.mu.Lock()
				l.callers.pending = append(l.callers.pending, c)
				l.callers.mu.Unlock()
				continue
			}
			c.mu.Lock()
			c.name = name
			c.mu.Unlock()
		}
	}
}

// entriesByInode returns the names of the entries by the inodes of their sockets.
func (l *lab) entriesByInode() map[string]string {
	names := map[string]string{}
	for _, e := range l.entries {
		if e.cmd == nil || e.cmd.Process == nil {
			continue
		}
		fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", e.cmd.Process.Pid))
		for _, fd := range fds {
			to, err := os.Readlink(fd)
			if inode, ok := strings.CutPrefix(to, "socket:["); err == nil && ok {
				names[strings.TrimSuffix(inode, "]")] = e.name
			}
		}
	}
	return names
}

// inodesByPort returns the inodes of the established connections by their local ports.
func inodesByPort() map[int]string {
	inodes := map[int]string{}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return inodes
	}
	defer func() { _ = f.Close() }()
	const local, state, inode, established = 1, 3, 9, "01"
	for table := bufio.NewScanner(f); table.Scan(); {
		row := strings.Fields(table.Text())
		if len(row) <= inode || row[state] != established {
			continue
		}
		_, hex, _ := strings.Cut(row[local], ":")
		if port, err := strconv.ParseUint(hex, 16, 16); err == nil {
			inodes[int(port)] = row[inode]
		}
	}
	return inodes
}
