package endpoint_test

import (
	"context"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/io/endpoint"
)

// inbox is an event sink that keeps all events.
type inbox chan cornelwall.Event

func (b inbox) Post(ev cornelwall.Event) { b <- ev }

// backEnd reports each start on a channel. A task ends with a result from the test, or as
// Unknown when ctx ends.
type backEnd struct {
	started chan cornelwall.Start
	end     chan cornelwall.Result
}

func (b backEnd) Run(ctx context.Context, _ cornelwall.VM, s cornelwall.Start) cornelwall.Result {
	b.started <- s
	select {
	case r := <-b.end:
		return r
	case <-ctx.Done():
		return cornelwall.Result{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonLost}
	}
}

// TestEndpoints starts tasks that end by themselves, are abandoned, or are cancelled by the end
// of Run. Each posts one result, and no task starts after the end of Run.
func TestEndpoints(t *testing.T) {
	defer goleak.VerifyNone(t)
	b := backEnd{started: make(chan cornelwall.Start, 4), end: make(chan cornelwall.Result)}
	events := make(inbox, 4)
	e := endpoint.New(events, map[cornelwall.Kind]cornelwall.BackEnd{cornelwall.Worker: b})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = e.Run(ctx) }()
	start := func(attempt uint64) {
		e.Handle(cornelwall.RunTask{VM: cornelwall.VM{Kind: cornelwall.Worker}, Start: cornelwall.Start{Attempt: attempt}})
	}
	ended := func() (uint64, cornelwall.Outcome) {
		ev := (<-events).(cornelwall.TaskEnded)
		return ev.Attempt, ev.Result.Outcome
	}
	check := func(attempt uint64, outcome cornelwall.Outcome) {
		t.Helper()
		a, o := ended()
		assert.Equal(t, a, attempt)
		assert.Equal(t, o, outcome)
	}
	start(1)
	<-b.started
	b.end <- cornelwall.Result{Outcome: cornelwall.Done}
	check(1, cornelwall.Done)
	start(2)
	<-b.started
	e.Handle(cornelwall.AbandonTask{Attempt: 1}) // has ended already
	e.Handle(cornelwall.AbandonTask{Attempt: 2})
	check(2, cornelwall.Unknown)
	start(3)
	<-b.started
	cancel()
	check(3, cornelwall.Unknown)
	<-e.Done()
	start(4)
	assert.Equal(t, len(b.started), 0)
}
