package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/platform"
)

// countingCore counts the requests that reach the core. It answers none of them: each waits until
// its caller disconnects.
type countingCore struct{ requests atomic.Int32 }

func (a *countingCore) Ask(ctx context.Context, _ func(req uint64) cornelwall.Event) (cornelwall.Command, error) {
	a.requests.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestRequestThatIsReadAfterItsCallerLeftRunsNothing checks that a request never reaches the core
// if its client closed the connection before the server accepted it.
func TestRequestThatIsReadAfterItsCallerLeftRunsNothing(t *testing.T) {
	core, handled := &countingCore{}, make(chan struct{})
	ingress := platform.NewIngress(core)
	srv, err := listen(listenConfig{Addr: netip.MustParseAddrPort("127.0.0.1:0"), MaxConns: 8, Log: logr.Discard()}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(handled)
		ingress.ServeHTTP(w, r)
	}))
	assert.NilError(t, err)
	conn, err := net.Dial("tcp", srv.addr().String())
	assert.NilError(t, err)
	body := `{"bestEffort":true,"steps":[{"count":1,"cpu":500,"estimateMs":900}]}`
	_, err = fmt.Fprintf(conn, "POST /holds/00000000000000aa HTTP/1.1\r\nHost: h\r\nCornelwall-Deadline-Ms: 2300\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = srv.Run(ctx) }()
	select {
	case <-handled:
	case <-time.After(10 * time.Second):
		t.Error("the request is not handled")
	}
	cancel()
	<-srv.Done()
	assert.Equal(t, core.requests.Load(), int32(0), "a batch whose caller has disconnected reaches the core")
}
