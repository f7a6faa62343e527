package worker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cornelwall"
	"cornelwall/io/worker"
	"cornelwall/standin/task"
	standin "cornelwall/standin/worker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(body string, cores int) cornelwall.Start {
	owner := cornelwall.Incarnation{DataCentre: "ikeja", Entry: "e1", Epoch: 1}
	return cornelwall.Start{Ticket: cornelwall.Ticket{Owner: owner, Seq: 1, Team: "booking"},
		Body: []byte(body), Need: cornelwall.Need{Cores: cores}}
}

// run starts a stand-in worker and a back end with leases of the given TTL.
func run(t *testing.T, ttl time.Duration) (*standin.Worker, *worker.BackEnd, cornelwall.VM) {
	w := standin.New(standin.Config{Capacity: cornelwall.Need{Cores: 4}})
	server := httptest.NewServer(w)
	b := worker.New(worker.Config{TTL: ttl})
	t.Cleanup(func() { b.Close(); w.Close(); server.Close() })
	return w, b, cornelwall.VM{Name: "w1", Kind: cornelwall.Worker,
		Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

func TestRun(t *testing.T) {
	tests := []struct {
		name    string
		ttl     time.Duration
		control task.Control
		body    string
		cores   int
		outcome cornelwall.Outcome
		reason  cornelwall.Reason
		echo    string
		starts  int
	}{
		{"done", time.Minute, task.Control{}, `{"sleep":"5ms","echo":"x"}`, 4, cornelwall.Done, cornelwall.ReasonNone, "x", 1},
		{"failed", time.Minute, task.Control{}, `{"fail":true}`, 1, cornelwall.Failed, cornelwall.ReasonTask, "", 1},
		{"no capacity", time.Minute, task.Control{}, "x", 5, cornelwall.NotRun, cornelwall.ReasonBusy, "", 0},
		{"draining", time.Minute, task.Control{Drain: true}, "x", 1, cornelwall.NotRun, cornelwall.ReasonDraining, "", 0},
		{"answer lost", time.Minute, task.Control{}, `{"read-and-close":true}`, 1, cornelwall.Unknown, cornelwall.ReasonLost, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, b, vm := run(t, tt.ttl)
			w.SetControl(tt.control)
			got := b.Run(context.Background(), vm, start(tt.body, tt.cores))
			assert.Equal(t, got.Outcome, tt.outcome)
			assert.Equal(t, got.Reason, tt.reason)
			assert.Equal(t, string(got.Body), tt.echo)
			assert.Equal(t, w.Starts()[start("", 0).Ticket.String()+"/0"], tt.starts)
		})
	}
}

func TestEndOfContextStopsTheTask(t *testing.T) {
	w, b, vm := run(t, time.Minute)
	w.SetControl(task.Control{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan cornelwall.Result, 1)
	go func() { result <- b.Run(ctx, vm, start("x", 2)) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		used, err := b.Usage(context.Background(), vm)
		if err != nil {
			return poll.Error(err)
		}
		if used.Cores != 2 {
			return poll.Continue("%d cores used", used.Cores)
		}
		return poll.Success()
	})
	cancel()
	got := <-result
	assert.Equal(t, got.Outcome, cornelwall.Unknown)
	assert.Equal(t, got.Reason, cornelwall.ReasonDeadline)
	assert.Equal(t, w.Leases(), 0)
}

// TestEndOfContextDuringTheStart ends the context after the worker received the start and before
// it answers. It checks that the task under the lease granted then is stopped.
func TestEndOfContextDuringTheStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "POST /leases":
			cancel()
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write([]byte(`{"lease":"l1"}`))
		case "DELETE /leases/l1":
			stopped <- r.URL.Path
		}
	}))
	defer server.Close()
	b := worker.New(worker.Config{})
	defer b.Close()
	vm := cornelwall.VM{Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Conns: 8}
	got := b.Run(ctx, vm, start("x", 2))
	assert.Equal(t, got.Outcome, cornelwall.Unknown)
	assert.Equal(t, len(stopped), 1)
}

func TestLeaseExpiresAfterLostAnswer(t *testing.T) {
	w, b, vm := run(t, 100*time.Millisecond)
	w.SetControl(task.Control{Hang: true})
	got := b.Run(context.Background(), vm, start(`{"read-and-close":true}`, 4))
	assert.Equal(t, got.Outcome, cornelwall.Unknown)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := w.Leases(); n > 0 {
			return poll.Continue("%d leases", n)
		}
		return poll.Success()
	})
}
