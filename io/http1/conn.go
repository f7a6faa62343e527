package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	writeBuffer = 4 << 10 // bytes
	readBuffer  = 4 << 10 // bytes
)

// pastDeadline is a deadline that makes every read and write fail at once.
var pastDeadline = time.Unix(1, 0)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	wrote     bool      // at least one byte of the current request was written
	process   string    // of the server, see Config.Identify; empty if it is not known
	idleSince time.Time // when it was returned to the pool
}

func dial(ctx context.Context, timeout time.Duration, addr netip.AddrPort) (*conn, error) {
	d := net.Dialer{Timeout: timeout}
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc}
	c.r, c.w = bufio.NewReaderSize(nc, readBuffer), bufio.NewWriterSize(c, writeBuffer)
	return c, nil
}

// Write writes to the connection and sets wrote once the kernel has accepted a byte.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wrote = c.wrote || n > 0
	return n, err
}

// leadsTo reports whether the connection leads to a process or may do so. Any will do if process is
// empty.
func (c *conn) leadsTo(process string) bool {
	return process == "" || c.process == "" || c.process == process
}

// usable reports whether the server has neither closed the idle connection nor sent anything
// on it.
func (c *conn) usable() bool {
	if c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil { // clears the deadline of the last request
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		quiet = n < 0 && errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// interrupt makes reads and writes in progress fail.
func (c *conn) interrupt() { _ = c.SetDeadline(pastDeadline) } // fails only on a closed connection
