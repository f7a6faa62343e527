package endpoint_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/io/endpoint"
)

// workers is a back end whose machines report a usage once they are let.
type workers struct{ release chan struct{} }

func (w workers) Run(context.Context, cornelwall.VM, cornelwall.Start) cornelwall.Result {
	return cornelwall.Result{}
}

func (w workers) UsageWithAge(context.Context, cornelwall.VM) (cornelwall.Need, time.Duration, error) {
	<-w.release
	return cornelwall.Need{Cores: 3}, time.Second, nil
}

// events is a core that only takes events.
type events chan cornelwall.Event

func (e events) Post(ev cornelwall.Event) { e <- ev }

// TestPoll reads a worker's usage, and does not read it twice at the same time.
func TestPoll(t *testing.T) {
	back, got := workers{release: make(chan struct{})}, make(events, 8)
	e := endpoint.New(got, map[cornelwall.Kind]cornelwall.BackEnd{cornelwall.Worker: back})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = e.Run(ctx) }()
	poll := cornelwall.PollUsage{VM: cornelwall.VM{Name: "w0", Kind: cornelwall.Worker}}
	e.Handle(poll)
	e.Handle(poll)
	back.release <- struct{}{}
	assert.DeepEqual(t, <-got, cornelwall.Event(cornelwall.Usage{Machine: "w0", Used: cornelwall.Need{Cores: 3}, Lag: time.Second}))
	cancel()
	<-e.Done() // a second reading would wait for ever
	assert.Equal(t, len(got), 0)
}
