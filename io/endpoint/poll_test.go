package endpoint_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/io/endpoint"
)

// workers is a back end whose machines report their usage after a receive from release.
type workers struct{ release chan struct{} }

func (w workers) Run(context.Context, cornelwall.VM, cornelwall.Start) cornelwall.Result {
	return cornelwall.Result{}
}

func (w workers) ReadUsage(context.Context, cornelwall.VM) (cornelwall.Need, time.Duration, error) {
	<-w.release
	return cornelwall.Need{Cores: 3}, time.Second, nil
}

// events is an event sink that keeps all events.
type events chan cornelwall.Event

func (e events) Post(ev cornelwall.Event) { e <- ev }

// TestPoll polls a worker twice at the same time, which must read its usage only once.
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
	<-e.Done() // a second read would block for ever
	assert.Equal(t, len(got), 0)
}
