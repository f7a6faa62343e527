package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	writeBuffer = 4 << 10  // bytes
	readBuffer  = 4 << 10  // bytes
	writeChunk  = 16 << 10 // bytes that one deadline is for
	sendBuffer  = 64 << 10 // bytes that the system may take before it has sent them
)

// pastDeadline is a deadline that makes every read and write fail at once.
var pastDeadline = time.Unix(1, 0)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	r             *bufio.Reader
	w             *bufio.Writer
	answerTimeout time.Duration // see Config
	stallTimeout  time.Duration // see Config
	limit         time.Time     // deadline of the current request; the zero time is none
	wrote         bool          // at least one byte of the current request was written
	writeErr      error         // of the write that failed; net/http hides it
	answered      bool          // at least one byte of the answer has come
	process       string        // of the server, see Config.Identify; empty if it is not known
	idleSince     time.Time     // when it was returned to the pool

	mu          sync.Mutex
	interrupted bool // the deadline stays in the past
}

func dial(ctx context.Context, cfg Config, addr netip.AddrPort) (*conn, error) {
	d := net.Dialer{Timeout: cfg.DialTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	if tcp, ok := nc.(*net.TCPConn); ok && cfg.StallTimeout > 0 {
		_ = tcp.SetWriteBuffer(sendBuffer) // a larger buffer only hides a stall for longer
	}
	return newConn(nc, cfg), nil
}

func newConn(nc net.Conn, cfg Config) *conn {
	c := &conn{Conn: nc, answerTimeout: cfg.AnswerTimeout, stallTimeout: cfg.StallTimeout}
	c.r, c.w = bufio.NewReaderSize(c, readBuffer), bufio.NewWriterSize(c, writeBuffer)
	return c
}

// begin prepares the connection for a request with a deadline; the zero time is none.
func (c *conn) begin(deadline time.Time) {
	c.limit = deadline
	_ = c.SetDeadline(deadline) // fails only on a closed connection, on which the write fails too
}

// Read reads from the connection, and fails if no byte comes in time.
func (c *conn) Read(p []byte) (int, error) {
	timeout, cause := c.answerTimeout, ErrNoAnswer
	if c.answered {
		timeout, cause = c.stallTimeout, ErrStalled
	}
	extended := c.extend(timeout)
	n, err := c.Conn.Read(p)
	c.answered = c.answered || n > 0
	return n, c.explain(err, extended, cause)
}

// Write writes to the connection, and fails if a chunk is not accepted in time. It sets wrote once
// the kernel has accepted a byte.
func (c *conn) Write(p []byte) (written int, err error) {
	for err == nil && written < len(p) {
		chunk := p[written:min(written+writeChunk, len(p))]
		extended := c.extend(c.stallTimeout)
		var n int
		n, err = c.Conn.Write(chunk)
		written += n
		c.wrote = c.wrote || n > 0
		err = c.explain(err, extended, ErrStalled)
	}
	c.writeErr = err
	return written, err
}

// extend sets the deadline of the next read or write to the given time from now, but not beyond the
// limit of the request, and reports whether it lies before that limit. A timeout of 0 is none.
func (c *conn) extend(timeout time.Duration) bool {
	if c.answerTimeout == 0 && c.stallTimeout == 0 {
		return false // the deadline is the limit already
	}
	deadline, before := c.limit, false
	if t := time.Now().Add(timeout); timeout > 0 && (c.limit.IsZero() || t.Before(c.limit)) {
		deadline, before = t, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return false
	}
	_ = c.SetDeadline(deadline) // fails only on a closed connection, on which the read or write fails too
	return before
}

// explain adds the cause to the error of a read or write that has passed the deadline that extend set.
func (c *conn) explain(err error, extended bool, cause error) error {
	if !extended || !errors.Is(err, os.ErrDeadlineExceeded) || c.isInterrupted() {
		return err
	}
	return fmt.Errorf("%w: %w", cause, err)
}

func (c *conn) isInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
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

// interrupt makes reads and writes fail, those in progress included. The connection is of no use then.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.SetDeadline(pastDeadline) // fails only on a closed connection
}
