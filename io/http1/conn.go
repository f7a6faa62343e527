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

// past is a deadline that ends every read and write at once.
var pastDeadline = time.Unix(1, 0)

// conn is one connection. One request at a time is on it.
type conn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	wrote     bool      // the request under way has been written, at least in part
	idleSince time.Time // since when it has been idle
}

func dial(ctx context.Context, limit time.Duration, addr netip.AddrPort) (*conn, error) {
	d := net.Dialer{Timeout: limit}
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc}
	c.r, c.w = bufio.NewReaderSize(nc, readBuffer), bufio.NewWriterSize(c, writeBuffer)
	return c, nil
}

// Write takes note of whether the kernel has taken any byte.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wrote = c.wrote || n > 0
	return n, err
}

// usable reports whether the other side has neither closed the idle connection nor said
// anything on it.
func (c *conn) usable() bool {
	if c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil { // that of the last request may have passed
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

// interrupt ends what goes on on the connection.
func (c *conn) interrupt() { _ = c.SetDeadline(pastDeadline) } // an error means that it is closed
