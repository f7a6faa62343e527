package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
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

// A caller's request; batchRequest takes the length of the body and the body.
const (
	batchRequest = "POST /holds/00000000000000aa HTTP/1.1\r\nHost: h\r\nCornelwall-Deadline-Ms: 2300\r\nContent-Length: %d\r\n\r\n%s"
	batchBody    = `{"bestEffort":true,"steps":[{"count":1,"cpu":500,"estimateMs":900}]}`
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
	_, err = fmt.Fprintf(conn, batchRequest, len(batchBody), batchBody)
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

// recordingCore keeps the event of each request and refuses it.
type recordingCore struct{ events chan cornelwall.Event }

func (a *recordingCore) Ask(_ context.Context, event func(req uint64) cornelwall.Event) (cornelwall.Command, error) {
	a.events <- event(1)
	return cornelwall.ReplyBatch{Req: 1, Answer: cornelwall.BatchAnswer{End: cornelwall.BatchRefused}}, nil
}

// TestTimeBeforeRequestIsReadCountsAgainstDeadline lets requests wait before the server accepts their connection
// and, on the open connection, before it reads them.
func TestTimeBeforeRequestIsReadCountsAgainstDeadline(t *testing.T) {
	const (
		wait       = 400 * time.Millisecond
		resolution = 10 * time.Millisecond // longest tick of the kernel's timer; the times are the difference of two
	)
	core, blocked := &recordingCore{events: make(chan cornelwall.Event, 1)}, make(chan struct{})
	ingress := platform.NewIngress(core)
	srv, err := listen(listenConfig{Addr: netip.MustParseAddrPort("127.0.0.1:0"), MaxConns: 8, Log: logr.Discard()}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-blocked
		ingress.ServeHTTP(w, r)
	}))
	assert.NilError(t, err)
	conn, err := net.Dial("tcp", srv.addr().String())
	assert.NilError(t, err)
	defer func() { assert.Check(t, conn.Close()) }()
	answers := bufio.NewReader(conn)
	send := func() {
		t.Helper()
		_, err := fmt.Fprintf(conn, batchRequest, len(batchBody), batchBody)
		assert.NilError(t, err)
	}
	receive := func() cornelwall.SubmitBatch {
		t.Helper()
		resp, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, errors.Join(err, resp.Body.Close()))
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		return (<-core.events).(cornelwall.SubmitBatch)
	}
	check := func(sentAt time.Time, ev cornelwall.SubmitBatch) {
		t.Helper()
		assert.Equal(t, ev.TimeLeft, 2300*time.Millisecond)
		assert.Check(t, ev.Waited >= wait-2*resolution, "%s", ev.Waited)
		assert.Check(t, ev.Waited <= time.Since(sentAt)+2*resolution, "%s", ev.Waited)
	}

	sentAt := time.Now()
	send()
	time.Sleep(wait)
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		<-srv.Done()
	}()
	go func() { _ = srv.Run(ctx) }()
	blocked <- struct{}{}
	check(sentAt, receive())

	time.Sleep(wait / 4) // the connection's time without a request must not count
	sentAt = time.Now()
	send()
	time.Sleep(wait)
	blocked <- struct{}{}
	check(sentAt, receive())
}
