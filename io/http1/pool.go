package http1

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// poolKey identifies a pool by a machine and the limit of connections in use; 0 is no limit.
type poolKey struct {
	addr     netip.AddrPort
	maxConns int
}

// pool holds the connections to one machine.
type pool struct {
	slots chan struct{} // holds one element for each connection in use; nil is no limit

	mu             sync.Mutex
	idle           []*conn // the most recently used is the last
	closed         bool
	activeRequests int // guarded by Client.mu, like lastUsed
	lastUsed       time.Time
}

func newPool(conns int) *pool {
	p := &pool{}
	if conns > 0 {
		p.slots = make(chan struct{}, conns)
	}
	return p
}

// acquireSlot waits until one more connection may be in use.
func (p *pool) acquireSlot(ctx context.Context) error {
	if p.slots == nil {
		return ctx.Err()
	}
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *pool) releaseSlot() {
	if p.slots != nil {
		<-p.slots
	}
}

// takeIdle returns an idle connection that is still usable, or nil. If process is set, connections to
// other processes are closed: an address has one process at a time.
func (p *pool) takeIdle(now time.Time, process string) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Sub(c.idleSince) < idleTimeout && c.leadsTo(process) && c.usable() {
			return c
		}
		_ = c.Close() // an error has no effect: no request is on it
	}
}

// putIdle keeps a connection for later requests, or closes it if the pool is closed or already
// keeps maxIdle.
func (p *pool) putIdle(c *conn, now time.Time, maxIdle int) {
	c.idleSince = now
	p.mu.Lock()
	keep := !p.closed && len(p.idle) < maxIdle
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close() // an error has no effect: no request is on it
	}
}

// closeIdle closes the idle connections. If final is set, connections that are in use are
// closed as well when they are put back.
func (p *pool) closeIdle(final bool) {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, p.closed || final
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // an error has no effect: no request is on it
	}
}
