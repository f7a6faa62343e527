// Package control runs a core: one goroutine owns it, takes events from all traffic
// goroutines and hands the commands to the actors that carry them out.
//
// # Usage
//
//	loop := control.New(core, clock, log)
//	loop.Connect(peers, endpoints, platform)
//	go loop.Run(ctx)
//	reply, err := loop.Ask(ctx, func(req uint64) cornelwall.Event {
//		return cornelwall.Fetch{Req: req, Ticket: t}
//	})
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cornelwall"
)

const (
	eventBuffer     = 4096
	maxBatch        = 256 // events between two settings of the timer
	slowBatch       = 50 * time.Millisecond
	slowLogInterval = time.Second // between two lines of slow batches
)

// Loop owns a core.
type Loop struct {
	core   cornelwall.Core
	clock  cornelwall.Clock
	log    logr.Logger
	events chan cornelwall.Event

	peers     cornelwall.CommandHandler
	endpoints cornelwall.CommandHandler
	platform  cornelwall.CommandHandler

	nextReq       atomic.Uint64
	mu            sync.Mutex
	waiters       map[uint64]chan cornelwall.Command
	callersGone   []uint64    // requests whose callers have left, of which the core is told first
	anyCallerGone atomic.Bool // there are such requests
	metrics       loopMetrics
	slowLoggedAt  time.Time // when a slow batch was logged last

	stopped  chan struct{} // the planned stop is complete
	stopOnce sync.Once
	done     chan struct{}
}

// New returns a loop that does not run yet.
func New(core cornelwall.Core, clock cornelwall.Clock, log logr.Logger) *Loop {
	l := &Loop{
		core:    core,
		clock:   clock,
		log:     log,
		events:  make(chan cornelwall.Event, eventBuffer),
		waiters: map[uint64]chan cornelwall.Command{},
		stopped: make(chan struct{}),
		done:    make(chan struct{}),
	}
	l.metrics = newLoopMetrics(l)
	return l
}

// Connect names the actors. It is called before Run.
func (l *Loop) Connect(peers, endpoints, platform cornelwall.CommandHandler) {
	l.peers, l.endpoints, l.platform = peers, endpoints, platform
}

// Post hands an event to the core. It waits while the buffer is full, so that it must
// not be called by an actor inside Act: the loop would wait for itself. After Run has
// returned it does nothing.
func (l *Loop) Post(ev cornelwall.Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// Ask posts a request event and waits for the command that replies to it. If ctx ends
// first, the core is told that nobody waits any longer.
func (l *Loop) Ask(ctx context.Context, event func(req uint64) cornelwall.Event) (cornelwall.Command, error) {
	req := l.nextReq.Add(1)
	ch := make(chan cornelwall.Command, 1)
	l.mu.Lock()
	l.waiters[req] = ch
	l.mu.Unlock()
	select {
	case l.events <- event(req):
	case <-ctx.Done():
		l.dropWaiter(req)
		return nil, ctx.Err()
	case <-l.done:
		l.dropWaiter(req)
		return nil, cornelwall.ErrStopping
	}
	select {
	case cmd := <-ch:
		return cmd, nil
	case <-ctx.Done():
		l.callerGone(req)
		return nil, ctx.Err()
	case <-l.done:
		l.dropWaiter(req)
		select {
		case cmd := <-ch: // the last thing that the loop did
			return cmd, nil
		default:
			return nil, cornelwall.ErrStopping
		}
	}
}

// callerGone tells the core that the caller of a request has left, before what waits already: it
// may send the same elsewhere. The word comes again in its turn, in case the request itself
// still waits.
func (l *Loop) callerGone(req uint64) {
	l.mu.Lock()
	delete(l.waiters, req)
	l.callersGone = append(l.callersGone, req)
	l.mu.Unlock()
	l.anyCallerGone.Store(true)
	l.Post(cornelwall.CallerGone{Req: req})
}

// takeCallersGone returns the requests whose callers have left since the last call.
func (l *Loop) takeCallersGone() []uint64 {
	if !l.anyCallerGone.Swap(false) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	left := l.callersGone
	l.callersGone = nil
	return left
}

// hasWaiter reports whether an event is to be handled: nobody waits any more for a batch whose
// caller has left before.
func (l *Loop) hasWaiter(ev cornelwall.Event) bool {
	s, ok := ev.(cornelwall.SubmitBatch)
	if !ok {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiters[s.Req] != nil
}

func (l *Loop) dropWaiter(req uint64) {
	l.mu.Lock()
	delete(l.waiters, req)
	l.mu.Unlock()
}

// Stopped is closed once a planned stop is complete.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Done is closed once Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Run takes events until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-l.events:
			l.batch(ev)
		case <-timer.C:
			l.handle(l.clock.Now(), cornelwall.Tick{})
		}
		timer.Reset(max(0, l.core.Next().Sub(l.clock.Now())))
	}
}

// batch handles an event and those that have come after it. Each has its own reading of the
// clock: a batch can take long, and an event may tell of what happened since it began.
func (l *Loop) batch(ev cornelwall.Event) {
	began := l.clock.Now()
	l.handle(began, ev)
	n := 1
	for more := true; more && n <= maxBatch; {
		select {
		case ev := <-l.events:
			l.handle(l.clock.Now(), ev)
			n++
		default:
			more = false
		}
	}
	l.recordBatch(began, n)
}

// recordBatch measures a batch that began at a time. A slow one, as the process got little
// of the processor, is logged once in a while.
func (l *Loop) recordBatch(began time.Time, events int) {
	now := l.clock.Now()
	took := now.Sub(began)
	l.metrics.batchSeconds.Update(took.Seconds())
	if took < slowBatch || now.Sub(l.slowLoggedAt) < slowLogInterval {
		return
	}
	l.slowLoggedAt = now
	l.log.Info("slow-batch", "events", events, "took", took, "waiting", len(l.events))
}

// handle hands an event to the core.
func (l *Loop) handle(now time.Time, ev cornelwall.Event) {
	for _, req := range l.takeCallersGone() {
		l.step(now, cornelwall.CallerGone{Req: req})
	}
	if l.hasWaiter(ev) {
		l.step(now, ev)
	}
}

func (l *Loop) step(now time.Time, ev cornelwall.Event) {
	l.metrics.events.Inc()
	cmds := l.core.Step(now, ev)
	l.metrics.commands.Add(len(cmds))
	for _, cmd := range cmds {
		l.execute(cmd)
	}
}

func (l *Loop) execute(cmd cornelwall.Command) {
	switch cmd := cmd.(type) {
	case cornelwall.ReplyCommand:
		l.reply(cmd.Request(), cmd)
	case cornelwall.Send:
		l.peers.Handle(cmd)
	case cornelwall.RunTask, cornelwall.AbandonTask, cornelwall.PollUsage, cornelwall.PollEndpoint, cornelwall.StartRun, cornelwall.StopRun:
		l.endpoints.Handle(cmd)
	case cornelwall.StoreGet, cornelwall.StoreCreate, cornelwall.SetWatch, cornelwall.ReadEndpoints, cornelwall.SetReady, cornelwall.Deregister:
		l.platform.Handle(cmd)
	case cornelwall.CountReason:
		l.metrics.count(cmd)
	case cornelwall.Log:
		l.log.Info(cmd.Event, cmd.Pairs...)
	case cornelwall.Stopped:
		l.stopOnce.Do(func() { close(l.stopped) })
	}
}

func (l *Loop) reply(req uint64, cmd cornelwall.Command) {
	l.mu.Lock()
	ch := l.waiters[req]
	delete(l.waiters, req)
	l.mu.Unlock()
	if ch != nil {
		ch <- cmd
	}
}
