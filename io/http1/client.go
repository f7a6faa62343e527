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
// The transport of net/http may send a request again by itself. Here a request
// gets one connection only, and a connection that failed takes no more writes.
package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"cornelwall"
)

const (
	defaultDial    = time.Second
	defaultIdle    = 8 // connections per machine
	defaultMaxBody = 4 << 20
	idleLife       = 30 * time.Second
	hostLife       = 5 * time.Minute // of the connection pool of an unused machine
)

// ErrTooLarge says that an answer is larger than the limit.
var ErrTooLarge = errors.New("answer is too large; return less or raise the limit")

// Config is the settings of a Client. The zero value is usable.
type Config struct {
	Dial    time.Duration    // limit for making a connection; 0 is 1 s
	Idle    int              // idle connections kept per machine; 0 is 8
	MaxBody int64            // limit for the body of an answer in bytes; 0 is 4 MiB
	Clock   cornelwall.Clock // nil is the clock of the machine
}

// Client holds one pool of connections per machine. It is safe for concurrent use.
type Client struct {
	cfg   Config
	mu    sync.Mutex
	hosts map[hostKey]*host
}

type hostKey struct {
	addr  netip.AddrPort
	conns int
}

type host struct {
	transport *http.Transport
	busy      int
	used      time.Time
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
	if cfg.Dial == 0 {
		cfg.Dial = defaultDial
	}
	if cfg.Idle == 0 {
		cfg.Idle = defaultIdle
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	if cfg.Clock == nil {
		cfg.Clock = cornelwall.SystemClock{}
	}
	return &Client{cfg: cfg, hosts: map[hostKey]*host{}}
}

// Do sends the request at most once, over at most conns connections to the
// machine; 0 is no limit. Sent is false if no byte of the request was written. The
// error is ErrTooLarge if the answer came but is larger than the limit; its status
// and header are then set.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, conns int, req Request) (resp Response, sent bool, err error) {
	key := hostKey{addr, conns}
	h := c.take(key)
	defer c.release(h)
	var guard guard
	r := request(httptrace.WithClientTrace(ctx, guard.trace()), addr, req)
	// RoundTrip follows no redirects, which could send the request again.
	got, err := h.transport.RoundTrip(r)
	if err != nil {
		return Response{}, guard.seal(), fmt.Errorf("%s %s on %s: %w", req.Method, req.Path, addr, err)
	}
	defer func() { _ = got.Body.Close() }()
	resp = Response{Status: got.StatusCode, Header: got.Header}
	resp.Body, err = io.ReadAll(io.LimitReader(got.Body, c.cfg.MaxBody+1))
	if err != nil {
		return resp, true, fmt.Errorf("%s %s on %s: read answer: %w", req.Method, req.Path, addr, err)
	}
	if int64(len(resp.Body)) > c.cfg.MaxBody {
		return resp, true, ErrTooLarge
	}
	return resp, true, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		h.transport.CloseIdleConnections()
	}
}

func request(ctx context.Context, addr netip.AddrPort, req Request) *http.Request {
	r := &http.Request{
		Method:        req.Method,
		URL:           &url.URL{Scheme: "http", Host: addr.String(), Path: req.Path},
		Header:        req.Header.Clone(),
		ContentLength: int64(len(req.Body)),
	}
	if r.Header == nil {
		r.Header = http.Header{}
	}
	// Both headers allow the transport to send the request again.
	r.Header.Del("Idempotency-Key")
	r.Header.Del("X-Idempotency-Key")
	if len(req.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(req.Body)) // leaves GetBody nil
	}
	return r.WithContext(ctx)
}

func (c *Client) take(key hostKey) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[key]
	if h == nil {
		c.prune()
		h = &host{transport: c.transport(key.conns)}
		c.hosts[key] = h
	}
	h.busy++
	return h
}

func (c *Client) release(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.busy--
	h.used = c.cfg.Clock.Now()
}

// prune drops the pools of machines that have not been used for long.
func (c *Client) prune() {
	now := c.cfg.Clock.Now()
	for key, h := range c.hosts {
		if h.busy == 0 && now.Sub(h.used) > hostLife {
			h.transport.CloseIdleConnections()
			delete(c.hosts, key)
		}
	}
}

func (c *Client) transport(conns int) *http.Transport {
	dialer := &net.Dialer{Timeout: c.cfg.Dial}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: nc}, nil
		},
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: c.cfg.Idle,
		IdleConnTimeout:     idleLife,
		DisableCompression:  true,
		Protocols:           protocols,
	}
}
