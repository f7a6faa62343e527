package http1

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// poolKey names a pool: a machine, and how many connections may be open to it.
type poolKey struct {
	addr     netip.AddrPort
	maxConns int
}

// pool is the connections to one machine.
type pool struct {
	slots chan struct{} // one for each connection in use; nil is no limit

	mu             sync.Mutex
	idle           []*conn // the one used last at the end
	closed         bool
	activeRequests int // requests under way
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

// takeIdle returns an idle connection that can be used, or nil.
func (p *pool) takeIdle(now time.Time) *conn {
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
		if now.Sub(c.idleSince) < idleTimeout && c.usable() {
			return c
		}
		_ = c.Close() // nothing is lost with it
	}
}

// putIdle keeps a connection for later requests.
func (p *pool) putIdle(c *conn, now time.Time, most int) {
	c.idleSince = now
	p.mu.Lock()
	keep := !p.closed && len(p.idle) < most
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close() // nothing is lost with it
	}
}

// closeIdle closes the idle connections; with last, also those that are in use once they are
// put back.
func (p *pool) closeIdle(last bool) {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, p.closed || last
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // nothing is lost with it
	}
}
