// Package http1 sends requests over HTTP/1.1 at most once and tells whether any
// byte of a request may have reached the other side.
//
// # Usage
//
//	c := http1.New(http1.Config{})
//	resp, sent, err := c.Do(ctx, addr, 64, http1.Request{Method: "POST", Path: "/run", Body: body})
//	if err != nil && !sent {
//		// The other side has not seen the request.
//	}
//
// The transport of net/http may send a request again by itself, and wakes two goroutines
// for each. Here a request is written and its answer read by the goroutine that makes it,
// on one connection only. Plain is such a client for libraries that take an
// *http.Request.
package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"cornelwall"
)

const (
	defaultDialTimeout = time.Second
	defaultMaxIdle     = 8 // connections per machine
	defaultMaxBody     = 4 << 20
	idleTimeout        = 30 * time.Second
	poolIdleTimeout    = 5 * time.Minute // of the connections to an unused machine
)

// ErrTooLarge says that an answer is larger than the limit.
var ErrTooLarge = errors.New("answer is too large; return less or raise the limit")

// Config is the settings of a Client. The zero value is usable.
type Config struct {
	DialTimeout time.Duration    // limit for making a connection; 0 is 1 s
	MaxIdle     int              // idle connections kept per machine; 0 is 8
	MaxBody     int64            // limit for the body of an answer in bytes; 0 is 4 MiB
	Clock       cornelwall.Clock // nil is the clock of the machine
}

// Client holds one pool of connections per machine. It is safe for concurrent use.
type Client struct {
	cfg   Config
	mu    sync.Mutex
	pools map[poolKey]*pool
}

// Request is one request. Path starts with "/".
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = defaultMaxIdle
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	if cfg.Clock == nil {
		cfg.Clock = cornelwall.SystemClock{}
	}
	return &Client{cfg: cfg, pools: map[poolKey]*pool{}}
}

// Do sends the request at most once, over at most conns connections to the
// machine; 0 is no limit. Sent is false if no byte of the request was written. The
// error is ErrTooLarge if the answer came but is larger than the limit; its status
// and header are then set.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, conns int, req Request) (resp Response, sent bool, err error) {
	p := c.acquirePool(poolKey{addr, conns})
	defer c.releasePool(p)
	got, sent, err := c.exchange(ctx, p, addr, newRequest(addr, req))
	if err != nil {
		return got, sent, fmt.Errorf("%s %s on %s: %w", req.Method, req.Path, addr, err)
	}
	return got, true, nil
}

// exchange makes one request on one connection of a pool.
func (c *Client) exchange(ctx context.Context, p *pool, addr netip.AddrPort, r *http.Request) (resp Response, sent bool, err error) {
	if err := p.acquireSlot(ctx); err != nil {
		return resp, false, err
	}
	defer p.releaseSlot()
	nc := p.takeIdle(c.cfg.Clock.Now())
	if nc == nil {
		if nc, err = dial(ctx, c.cfg.DialTimeout, addr); err != nil {
			return resp, false, err
		}
	}
	nc.wrote = false
	deadline, _ := ctx.Deadline() // the zero time is none
	_ = nc.SetDeadline(deadline)  // an error means that it is closed, which the write tells
	stop := context.AfterFunc(ctx, nc.interrupt)
	resp, keep, err := nc.roundTrip(r, c.cfg.MaxBody)
	sent = nc.wrote // before others may use the connection
	if !stop() || err != nil || !keep {
		_ = nc.Close() // the outcome is known
	} else {
		p.putIdle(nc, c.cfg.Clock.Now(), c.cfg.MaxIdle)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		p.closeIdle(false) // the others may have gone silent as well
	}
	return resp, sent, err
}

// roundTrip writes a request and reads the answer. Keep says that the connection can be
// used again.
func (c *conn) roundTrip(r *http.Request, most int64) (resp Response, keep bool, err error) {
	if err := r.Write(c.w); err != nil {
		return resp, false, err
	}
	if err := c.w.Flush(); err != nil {
		return resp, false, err
	}
	got, err := http.ReadResponse(c.r, r)
	if err != nil {
		return resp, false, fmt.Errorf("read answer: %w", err)
	}
	defer func() { _ = got.Body.Close() }()
	resp = Response{Status: got.StatusCode, Header: got.Header}
	resp.Body, err = io.ReadAll(io.LimitReader(got.Body, most+1))
	if err != nil {
		return resp, false, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(resp.Body)) > most {
		return resp, false, ErrTooLarge
	}
	return resp, !got.Close, nil
}

// Close closes the idle connections, and the others after their requests.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeIdle(true)
	}
}

func newRequest(addr netip.AddrPort, req Request) *http.Request {
	r := &http.Request{
		Method:        req.Method,
		URL:           &url.URL{Scheme: "http", Host: addr.String(), Path: req.Path},
		Header:        req.Header,
		ContentLength: int64(len(req.Body)),
	}
	if r.Header == nil {
		r.Header = http.Header{}
	}
	if len(req.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	return r
}

func (c *Client) acquirePool(key poolKey) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil {
		c.prune()
		p = newPool(key.maxConns)
		c.pools[key] = p
	}
	p.activeRequests++
	return p
}

func (c *Client) releasePool(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.activeRequests--
	p.lastUsed = c.cfg.Clock.Now()
}

// prune drops the pools of machines that have not been used for long.
func (c *Client) prune() {
	now := c.cfg.Clock.Now()
	for key, p := range c.pools {
		if p.activeRequests == 0 && now.Sub(p.lastUsed) > poolIdleTimeout {
			p.closeIdle(true)
			delete(c.pools, key)
		}
	}
}
