// Package tcp accepts TCP connections, up to a maximum at once, and reports what the kernel knows of
// the connection of a request: whether the peer has closed it, and for how long no data has arrived.
// A process that got no CPU time can be far behind the kernel. It can also limit how far the kernel is
// behind the process with an answer.
//
// # Usage
//
//	l, err := tcp.Listen(addr, maxConns)
//	srv := http.Server{ConnContext: tcp.ConnContext}
//	go srv.Serve(l)
//
// and in a handler:
//
//	if tcp.StateOf(r.Context()).PeerClosed {
//		...
//	}
package tcp

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener is a TCP listener that has a maximum of open connections.
type Listener struct {
	net.Listener
	places    chan struct{} // holds an element for each open connection
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen listens on a TCP address. Accept waits while maxConns accepted connections are open.
func Listen(addr netip.AddrPort, maxConns int) (*Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, places: make(chan struct{}, maxConns), closed: make(chan struct{})}, nil
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		raw = nil // its state is not known
	}
	return &conn{Conn: c, raw: raw, release: sync.OnceFunc(func() { <-l.places })}, nil
}

// Close closes the listener. Accepted connections stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	raw     syscall.RawConn // nil if there is none
	release func()
}

// Close closes the connection and lets the listener accept another one.
func (c *conn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// State is what the kernel knows of a connection. The zero State is that of one of which it tells nothing.
type State struct {
	PeerClosed bool          // the peer has closed or reset the connection
	Silence    time.Duration // since data last arrived, in the resolution of the kernel's timer
}

// state reads the state from the kernel. It neither waits nor interferes with reads.
func (c *conn) state() State {
	if c.raw == nil {
		return State{}
	}
	var info *unix.TCPInfo
	var ierr error
	err := c.raw.Control(func(fd uintptr) { info, ierr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || ierr != nil {
		return State{}
	}
	return State{
		PeerClosed: info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE,
		Silence:    time.Duration(info.Last_data_recv) * time.Millisecond,
	}
}

// LimitWriteBuffer sets how many bytes of the answer to a request the kernel takes before it has sent
// them. A handler then ends about when the answer has arrived. It does nothing if the context has no
// connection of a [Listener].
func LimitWriteBuffer(ctx context.Context, bytes int) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c.Conn.(*net.TCPConn).SetWriteBuffer(bytes)
}

type connKey struct{}

// ConnContext returns a context for the requests on a connection. It is for [http.Server].
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// StateOf returns the current state of the connection of a request, or the zero State if the context has
// no connection of a [Listener].
func StateOf(ctx context.Context) State {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return State{}
	}
	return c.state()
}
