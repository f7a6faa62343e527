package peer

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"cornelwall"
)

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, &l.in, &l.out}, err
}

// BenchmarkHeartbeatBytes sends heartbeats one by one over a connection and reports how many
// bytes of HTTP each takes, for the request and for the answer.
func BenchmarkHeartbeatBytes(b *testing.B) {
	inbox := make(inbox, 1)
	p := New(Config{Self: from, Secret: secret, Timeout: time.Second}, inbox, logr.Discard())
	mux := http.NewServeMux()
	mux.Handle(p.Handler())
	server := httptest.NewUnstartedServer(mux)
	l := &countingListener{Listener: server.Listener}
	server.Listener = l
	server.Start()
	defer server.Close()
	addr := netip.MustParseAddrPort(l.Addr().String())
	b.ReportAllocs()
	for b.Loop() {
		p.Handle(cornelwall.Send{To: to, Addr: addr, Message: heartbeat()})
		_, ok := (<-inbox).(cornelwall.Receive)
		assert.Assert(b, ok)
	}
	b.ReportMetric(float64(l.in.Load())/float64(b.N), "B-request")
	b.ReportMetric(float64(l.out.Load())/float64(b.N), "B-answer")
}
