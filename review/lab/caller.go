package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
)

// All addresses are loopback ones, so that an executor can't tell the machine of a caller by its
// address. It is told by the process that has the other end of the connection.

type callerKey struct{}

// withCaller remembers the connection of a request.
func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c.RemoteAddr().(*net.TCPAddr).Port)
}

// caller returns the name of the entry that sent a request, or "unknown".
func (l *lab) caller(r *http.Request) string {
	port, ok := r.Context().Value(callerKey{}).(int)
	if !ok || l.anonymous {
		return "unknown"
	}
	inode := inodeOf(port)
	if inode == "" {
		return "unknown"
	}
	for _, e := range l.entries {
		pid := e.pid.Load()
		if pid == 0 {
			continue
		}
		fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, fd := range fds {
			if to, err := os.Readlink(fd); err == nil && to == "socket:["+inode+"]" {
				return e.name
			}
		}
	}
	return "unknown"
}

// inodeOf returns the inode of the socket with a local port, other than a listener, or "".
func inodeOf(port int) string {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	suffix := fmt.Sprintf(":%04X", port)
	for _, line := range strings.Split(string(b), "\n") {
		f := strings.Fields(line)
		const state, inode = 3, 9
		if len(f) > inode && strings.HasSuffix(f[1], suffix) && f[state] == "01" {
			return f[inode]
		}
	}
	return ""
}
