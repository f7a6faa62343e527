// Package control runs a [cornelwall.Core] as an event loop: a single goroutine owns the core,
// receives events from all other goroutines and passes the resulting commands to the handlers
// that carry them out.
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
	maxBatch        = 256                   // events handled after the first, before the timer is reset
	slowBatch       = 50 * time.Millisecond // duration from which a batch of events is logged as slow
	slowLogInterval = time.Second           // minimum time between two such log lines
)

// Loop is the event loop of a core.
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
	waiters       map[uint64]*waiter
	callersGone   []uint64    // requests abandoned by their callers, not yet passed to the core
	anyCallerGone atomic.Bool // callersGone is not empty
	metrics       loopMetrics
	slowLoggedAt  time.Time // when the last slow batch was logged

	stopped  chan struct{} // closed when the graceful shutdown is complete
	stopOnce sync.Once
	done     chan struct{} // closed when Run has returned
}

// New returns a loop that is started with Run.
func New(core cornelwall.Core, clock cornelwall.Clock, log logr.Logger) *Loop {
	l := &Loop{
		core:    core,
		clock:   clock,
		log:     log,
		events:  make(chan cornelwall.Event, eventBuffer),
		waiters: map[uint64]*waiter{},
		stopped: make(chan struct{}),
		done:    make(chan struct{}),
	}
	l.metrics = newLoopMetrics(l)
	return l
}

// waiter is a request whose caller waits for the reply.
type waiter struct {
	reply   chan cornelwall.Command
	gone    <-chan struct{} // closed once the caller has gone
	askedAt time.Time
}

// Connect sets the command handlers. It must be called before Run.
func (l *Loop) Connect(peers, endpoints, platform cornelwall.CommandHandler) {
	l.peers, l.endpoints, l.platform = peers, endpoints, platform
}

// Post queues an event for the core. It blocks while the buffer is full, so a command handler
// must not call it from inside Handle: the loop would deadlock. After Run has returned it does
// nothing.
func (l *Loop) Post(ev cornelwall.Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// Ask posts a request event and waits for the command that replies to it. If ctx ends
// first, the core is notified that the caller has gone.
func (l *Loop) Ask(ctx context.Context, event func(req uint64) cornelwall.Event) (cornelwall.Command, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	req := l.nextReq.Add(1)
	ch := make(chan cornelwall.Command, 1)
	l.mu.Lock()
	l.waiters[req] = &waiter{reply: ch, gone: ctx.Done(), askedAt: l.clock.Now()}
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
		case cmd := <-ch: // the reply was sent just before the loop ended
			return cmd, nil
		default:
			return nil, cornelwall.ErrStopping
		}
	}
}

// callerGone notifies the core that the caller of a request has gone. The notification overtakes
// the queued events, since the caller may already have submitted the same job to another entry.
// It is also queued as an event, in case the request itself is still in the queue.
func (l *Loop) callerGone(req uint64) {
	l.mu.Lock()
	delete(l.waiters, req)
	l.callersGone = append(l.callersGone, req)
	l.mu.Unlock()
	l.anyCallerGone.Store(true)
	l.Post(cornelwall.CallerGone{Req: req})
}

// takeCallersGone returns the requests whose callers have gone since the last call.
func (l *Loop) takeCallersGone() []uint64 {
	if !l.anyCallerGone.Swap(false) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	gone := l.callersGone
	l.callersGone = nil
	return gone
}

// admit returns an event as it is passed to the core, and reports whether it is. A SubmitBatch whose
// caller has gone while it was queued is not; of another one the time in the queue counts as waited.
func (l *Loop) admit(now time.Time, ev cornelwall.Event) (cornelwall.Event, bool) {
	s, ok := ev.(cornelwall.SubmitBatch)
	if !ok {
		return ev, true
	}
	l.mu.Lock()
	w := l.waiters[s.Req]
	l.mu.Unlock()
	if w == nil {
		return nil, false
	}
	select {
	case <-w.gone: // Ask is about to report it
		return nil, false
	default:
	}
	s.Waited += max(now.Sub(w.askedAt), 0)
	return s, true
}

func (l *Loop) dropWaiter(req uint64) {
	l.mu.Lock()
	delete(l.waiters, req)
	l.mu.Unlock()
}

// Stopped is closed once a graceful shutdown is complete.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Done is closed once Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Run handles events until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-l.events:
			l.handleBatch(ev)
		case <-timer.C:
			l.handle(l.clock.Now(), cornelwall.Tick{})
		}
		timer.Reset(max(0, l.core.Next().Sub(l.clock.Now())))
	}
}

// handleBatch handles an event and up to maxBatch events that are queued after it. The clock is
// read for each event, because a batch can take long and a later event may report something that
// happened after the batch began.
func (l *Loop) handleBatch(ev cornelwall.Event) {
	startedAt := l.clock.Now()
	l.handle(startedAt, ev)
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
	l.recordBatch(startedAt, n)
}

// recordBatch records the duration of a batch. A slow one, for example because the process got
// little CPU time, is logged at most once per slowLogInterval.
func (l *Loop) recordBatch(startedAt time.Time, events int) {
	now := l.clock.Now()
	took := now.Sub(startedAt)
	l.metrics.batchSeconds.Update(took.Seconds())
	if took < slowBatch || now.Sub(l.slowLoggedAt) < slowLogInterval {
		return
	}
	l.slowLoggedAt = now
	l.log.Info("slow-batch", "events", events, "took", took, "waiting", len(l.events))
}

// handle passes an event to the core, after the pending notifications that callers have gone.
func (l *Loop) handle(now time.Time, ev cornelwall.Event) {
	for _, req := range l.takeCallersGone() {
		l.step(now, cornelwall.CallerGone{Req: req})
	}
	if ev, ok := l.admit(now, ev); ok {
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
	case cornelwall.Send, cornelwall.FetchQueueConfig, cornelwall.ServeQueueConfig:
		l.peers.Handle(cmd)
	case cornelwall.RunTask, cornelwall.AbandonTask, cornelwall.PollUsage, cornelwall.PollEndpoint, cornelwall.StartRun, cornelwall.StopRun:
		l.endpoints.Handle(cmd)
	case cornelwall.StoreGet, cornelwall.StoreCreate, cornelwall.SetWatch, cornelwall.ReadEndpoints, cornelwall.SetReady, cornelwall.Deregister,
		cornelwall.StoreCancellations, cornelwall.ReadCancellations:
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
	w := l.waiters[req]
	delete(l.waiters, req)
	l.mu.Unlock()
	if w != nil {
		w.reply <- cmd
	}
}
