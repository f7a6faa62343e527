package http1

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestDeadIdleConnection lets the server close connections at any moment. A request
// that is called not sent must not have arrived, and none arrives twice.
func TestDeadIdleConnection(t *testing.T) {
	const rounds = 300
	for _, body := range []string{"", "body"} {
		var seen [rounds]atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Check(t, r.Header.Get("Idempotency-Key") == "")
			id, err := strconv.Atoi(r.Header.Get("Id"))
			assert.Check(t, err)
			seen[id].Add(1)
		}))
		addr := netip.MustParseAddrPort(server.Listener.Addr().String())
		c := New(Config{})
		var least, most [rounds]int32 // arrivals that the client's word allows
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

func TestGuardSealsEveryLaterConnection(t *testing.T) {
	var g guard
	first, second := &conn{}, &conn{}
	g.gotConn(httptrace.GotConnInfo{Conn: first})
	g.gotConn(httptrace.GotConnInfo{Conn: second})
	_, err := second.Write([]byte("x"))
	assert.ErrorIs(t, err, errSealed)
	assert.Assert(t, !g.seal())
	_, err = first.Write([]byte("x"))
	assert.ErrorIs(t, err, errSealed)
}
