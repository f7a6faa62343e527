package control_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/control"
)

// echoCore replies to each request, and emits the given number of Send commands for a Fetch.
type echoCore struct{ sends int }

func (c *echoCore) Next() time.Time { return time.Now().Add(time.Hour) }

func (c *echoCore) Step(_ time.Time, ev cornelwall.Event) []cornelwall.Command {
	var cmds []cornelwall.Command
	switch ev := ev.(type) {
	case cornelwall.Fetch:
		cmds = append(cmds, cornelwall.Reply{Req: ev.Req})
		for range c.sends {
			cmds = append(cmds, cornelwall.Send{})
		}
	case cornelwall.FetchStatus:
		cmds = append(cmds, cornelwall.ReplyStatus{Req: ev.Req, Status: cornelwall.Status{Jobs: 7}})
	case cornelwall.Cancel:
		cmds = append(cmds, cornelwall.CountReason{Reason: cornelwall.ReasonQueueFull, N: 2},
			cornelwall.CountReason{Reason: cornelwall.ReasonBusy, Retry: true, N: 3}, cornelwall.Reply{Req: ev.Req})
	}
	return cmds
}

// postingHandler posts an event for each command, from a goroutine of its own.
type postingHandler struct {
	loop *control.Loop
	wg   sync.WaitGroup
}

func (b *postingHandler) Handle(cornelwall.Command) {
	b.wg.Go(func() { b.loop.Post(cornelwall.Undelivered{}) })
}

func fetch(req uint64) cornelwall.Event { return cornelwall.Fetch{Req: req} }

// run starts a loop and returns a function that stops it.
func run(core cornelwall.Core) (l *control.Loop, b *postingHandler, end func()) {
	l = control.New(core, cornelwall.SystemClock{}, logr.Discard())
	b = &postingHandler{loop: l}
	l.Connect(b, b, b)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = l.Run(ctx) }()
	return l, b, func() {
		cancel()
		<-l.Done()
		b.wg.Wait()
	}
}

// TestFullEventBuffer checks that the loop does not deadlock when its command handlers post more
// events than the buffer holds.
func TestFullEventBuffer(t *testing.T) {
	defer goleak.VerifyNone(t)
	l, _, end := run(&echoCore{sends: 300})
	defer end()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 10 {
				_, err := l.Ask(context.Background(), fetch)
				assert.Check(t, err)
			}
		})
	}
	wg.Wait()
}

// TestAskEndsWithLoopOrContext checks that Ask returns once the loop or the context has ended.
func TestAskEndsWithLoopOrContext(t *testing.T) {
	defer goleak.VerifyNone(t)
	silent := func(uint64) cornelwall.Event { return cornelwall.Tick{} }
	l, _, end := run(&echoCore{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := l.Ask(ctx, silent)
	assert.Assert(t, errors.Is(err, context.Canceled))
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			_, err := l.Ask(context.Background(), silent)
			assert.Check(t, errors.Is(err, cornelwall.ErrStopping))
		})
	}
	end()
	wg.Wait()
	_, err = l.Ask(context.Background(), fetch)
	assert.Assert(t, errors.Is(err, cornelwall.ErrStopping))
}

// TestMetrics checks that the counters of every reason exist before they are first incremented.
func TestMetrics(t *testing.T) {
	l, _, end := run(&echoCore{})
	defer end()
	_, err := l.Ask(context.Background(), func(req uint64) cornelwall.Event { return cornelwall.Cancel{Req: req} })
	assert.NilError(t, err)
	var page strings.Builder
	l.WriteMetrics(context.Background(), &page)
	for _, line := range []string{
		`cornelwall_refusals_total{reason="queue-full"} 2`,
		`cornelwall_refusals_total{reason="busy"} 0`,
		`cornelwall_retries_total{reason="busy"} 3`,
		`cornelwall_retries_total{reason="peer"} 0`,
		`cornelwall_core_events_waiting 0`,
		`cornelwall_jobs 7`,
	} {
		assert.Assert(t, strings.Contains(page.String(), line+"\n"), "%s is missing in\n%s", line, page.String())
	}
}
