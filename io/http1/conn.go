package http1

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection takes no more writes")

// conn counts its writes and can be sealed against further ones.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts before it writes, so that a write under way counts as done.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *conn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

func (c *conn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// guard ties one request to one connection.
type guard struct {
	mu     sync.Mutex
	conn   *conn
	base   uint64 // writes on conn before the request
	sealed bool
	blind  bool // the connection cannot tell its writes
}

func (g *guard) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: g.gotConn}
}

// gotConn runs before the request is written. Any connection after the first, or
// after the request was given up, is sealed: the request fails there unwritten.
func (g *guard) gotConn(info httptrace.GotConnInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		g.blind = true
		return
	}
	if g.conn != nil || g.sealed {
		c.seal()
		return
	}
	g.conn, g.base = c, c.count()
}

// seal stops all further writes of the request and reports whether there may have
// been any.
func (g *guard) seal() (sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.blind || g.conn != nil && g.conn.seal() != g.base
}
