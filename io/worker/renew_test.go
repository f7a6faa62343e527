package worker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/io/worker"
)

const (
	leaseTTL   = time.Minute
	pollTime   = leaseTTL / 3     // of a renewal, on the clock of the test
	runTimeout = leaseTTL / 4     // on the machine's clock; a back end that pauses between renewals does not keep it
	longTask   = 5 * leaseTTL / 2 // on the clock of the test
)

// pollingWorker is a worker on a clock that advances only while a renewal waits for the end of the task.
// The lease lapses by that clock.
type pollingWorker struct {
	mu        sync.Mutex
	now       time.Time
	endsAt    time.Time // of the task
	lapsesAt  time.Time // of the lease
	starts    int
	renewals  int
	failFrom  int // first renewal that gets an error
	failUntil int // first renewal after it that does not
}

// Now implements [cornelwall.Clock].
func (w *pollingWorker) Now() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (w *pollingWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "POST /leases":
		w.starts++
		w.endsAt, w.lapsesAt = w.now.Add(longTask), w.now.Add(leaseTTL)
		rw.WriteHeader(http.StatusCreated)
		_ = json.NewEncoder(rw).Encode(worker.LeaseReply{Lease: "l1"})
	case "POST /leases/l1/renew":
		w.renew(rw)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// renew handles a renewal. One that fails does not extend the lease.
func (w *pollingWorker) renew(rw http.ResponseWriter) {
	w.renewals++
	receivedAt := w.now
	w.now = w.now.Add(pollTime)
	switch {
	case receivedAt.After(w.lapsesAt):
		rw.WriteHeader(http.StatusNotFound)
	case w.renewals >= w.failFrom && w.renewals < w.failUntil:
		rw.WriteHeader(http.StatusInternalServerError)
	case w.now.Before(w.endsAt):
		w.lapsesAt = receivedAt.Add(leaseTTL)
		_ = json.NewEncoder(rw).Encode(worker.LeaseStatus{State: worker.Running})
	default:
		_ = json.NewEncoder(rw).Encode(worker.LeaseStatus{State: worker.Done, Body: []byte("x")})
	}
}

// TestTaskLongerThanTheLeaseTTL guards against a lease that lapses, or is given up, while its task runs.
func TestTaskLongerThanTheLeaseTTL(t *testing.T) {
	for _, tt := range []struct {
		name                string
		failFrom, failUntil int
		outcome             cornelwall.Outcome
		reason              cornelwall.Reason
		body                string
		renewals            int
	}{
		{"every renewal is answered", 0, 0, cornelwall.Done, cornelwall.ReasonNone, "x", 8},
		{"two renewals fail after the first TTL", 5, 7, cornelwall.Done, cornelwall.ReasonNone, "x", 8},
		{"renewals fail for longer than the TTL", 4, 100, cornelwall.Unknown, cornelwall.ReasonLost, "", 6},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := &pollingWorker{now: time.Unix(1700000000, 0), failFrom: tt.failFrom, failUntil: tt.failUntil}
			server := httptest.NewServer(w)
			defer server.Close()
			b := worker.New(worker.Config{TTL: leaseTTL, Clock: w})
			defer b.Close()
			ctx, cancel := context.WithTimeout(t.Context(), runTimeout)
			defer cancel()
			got := b.Run(ctx, cornelwall.VM{Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}, start("x", 1))
			assert.Equal(t, got.Outcome, tt.outcome, fmt.Sprintf("after %d renewals", w.renewals))
			assert.Equal(t, got.Reason, tt.reason)
			assert.Equal(t, string(got.Body), tt.body)
			assert.Equal(t, w.renewals, tt.renewals)
			assert.Equal(t, w.starts, 1)
		})
	}
}

// stampClock stands still, and notes at what time of the machine it was last read.
type stampClock struct {
	mu     sync.Mutex
	readAt time.Time
}

// Now implements [cornelwall.Clock].
func (c *stampClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAt = time.Now()
	return time.Unix(1700000000, 0)
}

func (c *stampClock) lastRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAt
}

// TestRenewalOutlastsThePoll guards against a renewal that ends before the worker must have answered it.
func TestRenewalOutlastsThePoll(t *testing.T) {
	const ttl = 6 * time.Second
	clock := &stampClock{}
	var renewals atomic.Int32
	waited := make(chan time.Duration, 1)
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/leases":
			rw.WriteHeader(http.StatusCreated)
			_ = json.NewEncoder(rw).Encode(worker.LeaseReply{Lease: "l1"})
		case renewals.Add(1) == 1:
			sentAt := clock.lastRead()
			<-r.Context().Done()
			waited <- time.Since(sentAt)
		default:
			_ = json.NewEncoder(rw).Encode(worker.LeaseStatus{State: worker.Done, Body: []byte("x")})
		}
	}))
	defer server.Close()
	b := worker.New(worker.Config{TTL: ttl, Clock: clock})
	defer b.Close()
	got := b.Run(t.Context(), cornelwall.VM{Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}, start("x", 1))
	assert.Equal(t, got.Outcome, cornelwall.Done, "a renewal without an answer must be followed by another one")
	assert.Assert(t, <-waited > ttl/3)
}
