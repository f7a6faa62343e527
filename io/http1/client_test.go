package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestServerClosesConnections closes connections on the server at random moments. A request
// that is reported as not sent must not have arrived, and no request may arrive twice.
func TestServerClosesConnections(t *testing.T) {
	const rounds = 300
	for _, body := range []string{"", "body"} {
		var seen [rounds]atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id, err := strconv.Atoi(r.Header.Get("Id"))
			assert.Check(t, err)
			seen[id].Add(1)
		}))
		addr := netip.MustParseAddrPort(server.Listener.Addr().String())
		c := New(Config{})
		var least, most [rounds]int32 // arrivals that the result of Do allows
		for i := range rounds {
			req := Request{Method: http.MethodPost, Path: "/", Body: []byte(body),
				Header: http.Header{"Idempotency-Key": {"k"}, "Id": {strconv.Itoa(i)}}}
			closed := make(chan struct{})
			go func() { defer close(closed); server.CloseClientConnections() }()
			_, sent, err := c.Do(context.Background(), addr, 0, req)
			<-closed
			if err == nil {
				least[i] = 1
			}
			if sent {
				most[i] = 1
			}
		}
		c.Close()
		server.Close() // waits for all handlers
		for i := range rounds {
			n := seen[i].Load()
			assert.Assert(t, least[i] <= n && n <= most[i], "request %d arrived %d times, want %d to %d", i, n, least[i], most[i])
		}
	}
}

// TestClosedWhileIdle has the server close idle connections, with or without sending an
// unrequested answer first. The next request uses a new connection and is answered.
func TestClosedWhileIdle(t *testing.T) {
	for _, last := range []string{"", "HTTP/1.1 408 Request Timeout\r\n\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		served := make(chan struct{})
		go func() {
			defer close(served)
			for range 2 {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				r := bufio.NewReader(nc)
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"+last)
				}
				_ = nc.Close()
			}
		}()
		c := New(Config{})
		addr := netip.MustParseAddrPort(l.Addr().String())
		for range 2 {
			resp, sent, err := c.Do(context.Background(), addr, 0, Request{Method: http.MethodGet, Path: "/"})
			assert.NilError(t, err)
			assert.Assert(t, sent && resp.Status == http.StatusOK)
			for p := c.pools[poolKey{addr: addr}]; len(p.idle) > 0 && p.idle[0].usable(); {
				runtime.Gosched() // until the client sees the close
			}
		}
		<-served
		c.Close()
		_ = l.Close()
	}
}

// TestTimeout checks that a request without an answer is reported as sent, and a request after
// the deadline as not sent.
func TestTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c := New(Config{})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, sent, err := c.Do(ctx, netip.MustParseAddrPort(l.Addr().String()), 1, Request{Method: http.MethodGet, Path: "/"})
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Assert(t, sent)
	_, sent, err = c.Do(ctx, netip.MustParseAddrPort(l.Addr().String()), 1, Request{Method: http.MethodGet, Path: "/"})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Assert(t, !sent)
}

// TestConnectionReuse makes a second request after the deadline of the first has passed. It
// must use the same connection.
func TestConnectionReuse(t *testing.T) {
	var from [2]string
	n := 0
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		from[n] = r.RemoteAddr
		n++
	}))
	defer server.Close()
	c := New(Config{})
	defer c.Close()
	for range from {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, _, err := c.Do(ctx, netip.MustParseAddrPort(server.Listener.Addr().String()), 0, Request{Method: http.MethodGet, Path: "/"})
		assert.NilError(t, err)
		<-ctx.Done()
		cancel()
	}
	assert.Equal(t, from[0], from[1])
}

// TestHTTPClientStatus checks that Status has the form of net/http: the code and its text.
func TestHTTPClientStatus(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer server.Close()
	p := NewHTTPClient(Config{})
	defer p.CloseIdleConnections()
	r, err := http.NewRequest(http.MethodGet, server.URL, nil)
	assert.NilError(t, err)
	resp, err := p.Do(r)
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, "503 Service Unavailable")
	assert.NilError(t, resp.Body.Close())
}

// TestRequestReachesNamedProcessOnly sends requests for one process of a server, which is replaced at the
// same address while the connections are idle. The new process must not get a request for the old one.
func TestRequestReachesNamedProcessOnly(t *testing.T) {
	serve := func(addr, name string, got *[]string) *httptest.Server {
		l, err := net.Listen("tcp", addr)
		assert.NilError(t, err)
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			*got = append(*got, r.URL.Path)
			if name == "" {
				w.WriteHeader(http.StatusConflict)
			}
			_, _ = io.WriteString(w, name)
		}))
		_ = s.Listener.Close()
		s.Listener = l
		s.Start()
		return s
	}
	for _, tc := range []struct {
		name, second string // second is the name of the second process, "" if it refuses to tell
		err          error
		sent         bool
		paths        []string // that the second process gets
	}{
		{"another process", "b", ErrOtherProcess, false, []string{"/who"}},
		{"the same process", "a", nil, true, []string{"/who", "/do"}},
		{"a process that does not tell", "", nil, false, []string{"/who"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Config{Identify: func(resp Response) string { return string(resp.Body) }})
			defer c.Close()
			do := Request{Method: http.MethodPost, Path: "/do", Process: "a", Probe: func() Request { return Request{Method: http.MethodPost, Path: "/who"} }}
			var first, second []string
			s := serve("127.0.0.1:0", "a", &first)
			addr := netip.MustParseAddrPort(s.Listener.Addr().String())
			for range 2 {
				_, sent, err := c.Do(context.Background(), addr, 0, do)
				assert.NilError(t, err)
				assert.Assert(t, sent)
			}
			assert.DeepEqual(t, first, []string{"/who", "/do", "/do"}) // one probe for each connection
			s.Close()
			s = serve(addr.String(), tc.second, &second)
			_, sent, err := c.Do(context.Background(), addr, 0, do)
			assert.ErrorIs(t, err, tc.err)
			assert.Equal(t, sent, tc.sent)
			s.Close()
			assert.DeepEqual(t, second, tc.paths)
		})
	}
}

// TestRestOfFailedAnswerIsAwaited has an answer that is too large and never ends.
func TestRestOfFailedAnswerIsAwaited(t *testing.T) {
	const maxBody = 10
	addr, _ := serveOnce(t, func(nc *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n0123456789abcdef")
		waitForClose(nc)
	})
	c := New(Config{MaxBody: maxBody})
	defer c.Close()
	_, _, err := c.Do(context.Background(), addr, 0, Request{Method: http.MethodGet, Path: "/"})
	assert.ErrorIs(t, err, ErrTooLarge)
}
