// Package http1 sends requests over HTTP/1.1 at most once and reports whether any byte of a
// request may have reached the server.
//
// # Usage
//
//	c := http1.New(http1.Config{})
//	resp, sent, err := c.Do(ctx, addr, 64, http1.Request{Method: "POST", Path: "/run", Body: body})
//	if err != nil && !sent {
//		// The server has not seen the request.
//	}
//
// The transport of net/http may retry a request by itself, and wakes two goroutines for each.
// Here the goroutine that makes a request writes it and reads the answer itself, on one
// connection only. HTTPClient is such a client for libraries that use an *http.Request.
//
// The deadline of the context is for the whole exchange. Where large answers come over links of any
// speed, Config.AnswerTimeout and Config.StallTimeout end an exchange that makes no progress, and
// leave time to one that does.
package http1

import (
	"bytes"
	"cmp"
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
	defaultMaxIdle     = 8 // idle connections kept per pool
	defaultMaxBody     = 4 << 20
	idleTimeout        = 30 * time.Second // after which an idle connection is not used again
	poolIdleTimeout    = 5 * time.Minute  // after which the pool of an unused machine is dropped
)

var (
	// ErrTooLarge means that an answer is larger than Config.MaxBody.
	ErrTooLarge = errors.New("answer is too large; return less or raise the limit")
	// ErrOtherProcess means that another process serves the address than the one that Request.Process
	// names.
	ErrOtherProcess = errors.New("another process serves this address; ask it what it is, and send the request again")
	// ErrNoAnswer means that no byte of the answer came within Config.AnswerTimeout.
	ErrNoAnswer = errors.New("no answer has begun in time; check that the server runs, or raise the answer timeout")
	// ErrStalled means that no further byte came or was accepted within Config.StallTimeout.
	ErrStalled = errors.New("the transfer has stalled; check the network and send the request again")
)

// Config holds the settings of a Client. The zero value is usable.
type Config struct {
	DialTimeout   time.Duration    // for a new connection; 0 is 1 s
	AnswerTimeout time.Duration    // from the end of a request to the first byte of the answer; 0 is none
	StallTimeout  time.Duration    // without a further byte of a request or an answer; 0 is none
	MaxIdle       int              // idle connections kept per pool; 0 is 8
	MaxBody       int64            // largest body of an answer in bytes; 0 is 4 MiB
	Clock         cornelwall.Clock // for the age of idle connections; nil is the system clock
	// Identify returns the name of the server process that an answer comes from, or "" if the answer
	// does not tell. A connection leads to one process as long as it lasts.
	Identify func(Response) string
}

// Client holds one pool of connections per machine and connection limit. It is safe for
// concurrent use.
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
	// Process, if it is set, is the only server process that may get the request, by the name that
	// Config.Identify gives it. On a connection whose process is not known, the request that Probe
	// returns is sent first. If the answer to it does not tell the process either, that answer is
	// returned.
	Process string
	Probe   func() Request
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

// Do sends the request at most once. It waits while maxConns connections to the machine are
// in use; 0 is no limit. Sent is false if no byte of the request was written. The error is
// ErrTooLarge if the answer is larger than the limit; the status and header of resp are set
// then. It is ErrOtherProcess if the request was not sent as it is for another process.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, maxConns int, req Request) (resp Response, sent bool, err error) {
	p := c.acquirePool(poolKey{addr, maxConns})
	defer c.releasePool(p)
	e := exchange{request: newRequest(addr, req), process: req.Process}
	e.probe = func() *http.Request { return newRequest(addr, req.Probe()) }
	got, sent, err := c.exchange(ctx, p, addr, &e)
	if err != nil {
		return got, sent, fmt.Errorf("%s %s on %s: %w", req.Method, req.Path, addr, err)
	}
	return got, sent, nil
}

// exchange is a request for one process of a server, or for any if process is empty.
type exchange struct {
	request *http.Request
	process string
	probe   func() *http.Request // asks for the process
}

// exchange sends one request on one connection of a pool and reads the answer.
func (c *Client) exchange(ctx context.Context, p *pool, addr netip.AddrPort, e *exchange) (resp Response, sent bool, err error) {
	if err := p.acquireSlot(ctx); err != nil {
		return resp, false, err
	}
	defer p.releaseSlot()
	nc := p.takeIdle(c.cfg.Clock.Now(), e.process)
	if nc == nil {
		if nc, err = dial(ctx, c.cfg, addr); err != nil {
			return resp, false, err
		}
	}
	deadline, _ := ctx.Deadline() // the zero time is no deadline
	nc.begin(deadline)
	stop := context.AfterFunc(ctx, nc.interrupt)
	resp, sent, keep, err := c.sendTo(ctx, nc, e)
	if !stop() || err != nil && !errors.Is(err, ErrOtherProcess) || !keep {
		_ = nc.Close() // an error would not change the result
	} else {
		p.putIdle(nc, c.cfg.Clock.Now(), c.cfg.MaxIdle)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		p.closeIdle(false) // after a timeout the idle connections may be dead as well
	}
	return resp, sent, err
}

// sendTo sends the request of an exchange on a connection, once the connection is known to lead to the
// process that the request is for. Sent tells of the request alone, and not of the probe.
func (c *Client) sendTo(ctx context.Context, nc *conn, e *exchange) (resp Response, sent, keep bool, err error) {
	if e.process != "" && nc.process == "" {
		resp, keep, err = c.roundTrip(ctx, nc, e.probe())
		if err != nil || nc.process == "" || !keep {
			return resp, false, keep, err
		}
	}
	if !nc.leadsTo(e.process) {
		return Response{}, false, true, ErrOtherProcess
	}
	nc.wrote = false
	resp, keep, err = c.roundTrip(ctx, nc, e.request)
	return resp, nc.wrote, keep, err
}

// roundTrip writes a request and reads the answer, which may tell the process that the connection
// leads to.
func (c *Client) roundTrip(ctx context.Context, nc *conn, r *http.Request) (resp Response, keep bool, err error) {
	resp, keep, err = nc.roundTrip(r, c.cfg.MaxBody, observerOf(ctx))
	if err == nil && nc.process == "" && c.cfg.Identify != nil {
		nc.process = c.cfg.Identify(resp)
	}
	return resp, keep, err
}

// roundTrip writes a request and reads the answer. Keep is set if the connection can be used
// again.
func (c *conn) roundTrip(r *http.Request, maxBody int64, observe Observer) (resp Response, keep bool, err error) {
	c.answered = false
	if err := r.Write(c.w); err != nil {
		return resp, false, cmp.Or(c.writeErr, err)
	}
	if err := c.w.Flush(); err != nil {
		return resp, false, err
	}
	got, err := http.ReadResponse(c.r, r)
	if err != nil {
		return resp, false, fmt.Errorf("read answer: %w", err)
	}
	resp = Response{Status: got.StatusCode, Header: got.Header}
	// The body needs no Close, which would wait for the rest of an answer that is given up.
	resp.Body, err = io.ReadAll(io.LimitReader(observedBody{got.Body, got.StatusCode, observe}, maxBody+1))
	if err != nil {
		return resp, false, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(resp.Body)) > maxBody {
		return resp, false, ErrTooLarge
	}
	return resp, !got.Close, nil
}

// Close closes the idle connections. Connections in use are closed after their requests.
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

// acquirePool returns the pool of a key and marks it as used by one more request.
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

// releasePool ends a use of a pool.
func (c *Client) releasePool(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.activeRequests--
	p.lastUsed = c.cfg.Clock.Now()
}

// prune drops the pools that have not been used for poolIdleTimeout. The caller holds mu.
func (c *Client) prune() {
	now := c.cfg.Clock.Now()
	for key, p := range c.pools {
		if p.activeRequests == 0 && now.Sub(p.lastUsed) > poolIdleTimeout {
			p.closeIdle(true)
			delete(c.pools, key)
		}
	}
}
