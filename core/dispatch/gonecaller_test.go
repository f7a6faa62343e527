package dispatch

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/control"
)

// callerRetryDelay is how long after an attempt a caller without an answer submits its batch to
// another entry.
const callerRetryDelay = 1300 * time.Millisecond

var testAddr = netip.MustParseAddrPort("10.0.0.1:7001")

// manualClock is a clock that tests advance.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// slowCore is a core that takes time to handle an event.
type slowCore struct {
	*Core
	clock *manualClock
	cost  func(cornelwall.Event) time.Duration
}

func (s *slowCore) Step(now time.Time, ev cornelwall.Event) []cornelwall.Command {
	s.clock.advance(s.cost(ev))
	return s.Core.Step(now, ev)
}

// startRecorder records when starts are ordered.
type startRecorder struct {
	clock *manualClock
	at    []time.Time
}

func (s *startRecorder) Handle(cmd cornelwall.Command) {
	if _, ok := cmd.(cornelwall.StartRun); ok {
		s.at = append(s.at, s.clock.Now())
	}
}

// recordStarts lets an event loop handle the given events, which are queued, and returns the times
// at which it orders starts.
func recordStarts(t *testing.T, c *Core, clock *manualClock, cost func(cornelwall.Event) time.Duration, events []cornelwall.Event) []time.Time {
	t.Helper()
	l := control.New(&slowCore{Core: c, clock: clock, cost: cost}, clock, logr.Discard())
	starts := &startRecorder{clock: clock}
	l.Connect(&startRecorder{clock: clock}, starts, &startRecorder{clock: clock})
	for _, ev := range events {
		l.Post(ev)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = l.Run(ctx) }()
	_, err := l.Ask(ctx, func(req uint64) cornelwall.Event { return cornelwall.FetchStatus{Req: req} })
	cancel()
	<-l.Done()
	assert.NilError(t, err)
	return starts.at
}

// newAcquiringCore returns the core of an entry that is acquiring x1 and does not know yet what
// runs there.
func newAcquiringCore(now time.Time) (*Core, *lease) {
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	c := New(Config{Self: self, Addr: testAddr, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond, StopGrace: 6 * time.Second}}, now)
	c.Step(now, cornelwall.QueueConfigRead{Config: &cornelwall.QueueConfig{Version: 1, Queues: []cornelwall.Queue{{
		Name: "holds", Host: "h", Prefix: "/", Service: "s", Attempts: 2, Timeout: 20 * time.Second, Objective: 20 * time.Second,
	}}}})
	ep := c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: testAddr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 8000}})
	c.acquire(ep, nil)
	return c, ep.lease
}

// emptyPollResult returns the answer to the first poll of x1, where nothing runs.
func emptyPollResult(l *lease, now time.Time) cornelwall.Event {
	return cornelwall.PollResult{Endpoint: "x1", Fence: l.fence, Seq: l.lastPoll, Boot: 1, Clock: time.Second}
}

// newReadyCore returns the core of an entry that holds x1 and has a link to another entry.
func newReadyCore(now time.Time, other cornelwall.Incarnation) *Core {
	c, l := newAcquiringCore(now)
	c.Step(now, emptyPollResult(l, now))
	openLink(c, now, other, cornelwall.FreeCapacity{})
	return c
}

// openLink opens a link to another entry with the given free capacity.
func openLink(c *Core, now time.Time, other cornelwall.Incarnation, v cornelwall.FreeCapacity) {
	c.Step(now, receive(other, cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: testAddr, Seq: 1, Session: 7, FreeCapacity: v}}))
	c.Step(now, receive(other, cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: testAddr, Seq: 2, Session: 7, FreeCapacity: v, AckedSeq: c.peers[other].sentSeq}}))
}

// receive returns the event of a message that arrives.
func receive(from cornelwall.Incarnation, m cornelwall.Message) cornelwall.Event {
	return cornelwall.Receive{Envelope: cornelwall.Envelope{From: from, Messages: []cornelwall.Message{m}}}
}

// submission returns the event that a caller submits a batch of the given steps.
func submission(steps ...cornelwall.Step) cornelwall.SubmitBatch {
	return cornelwall.SubmitBatch{Req: 1, Host: "h", Path: "/x", TimeLeft: 10 * time.Second, Batch: &cornelwall.BatchJob{ID: "00000000000000aa", Steps: steps}}
}

// fullEndpointStep is a step of one task that takes up a whole endpoint.
var fullEndpointStep = cornelwall.Step{Count: 1, Need: cornelwall.Resources{Cores: 8000}, Estimate: 500 * time.Millisecond}

// TestNoStartForGoneCallerAfterFreeze freezes the process for 2 s while it handles an event. Queued
// behind it are the end of a run, which frees the capacity for a waiting task, and then the event
// that the caller of that task is gone. The task must not start.
func TestNoStartForGoneCallerAfterFreeze(t *testing.T) {
	clock := &manualClock{now: time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)}
	c := newReadyCore(clock.now, cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1})
	first := submission(fullEndpointStep)
	c.Step(clock.now, first)
	l := c.endpoints["x1"].lease
	assert.Equal(t, len(l.runs), 1)
	r := l.sortedRuns()[0]
	c.Step(clock.now, cornelwall.OrderResult{Endpoint: "x1", Fence: l.fence, Run: r.id, Clock: time.Second})
	second := submission(fullEndpointStep)
	second.Req, second.Batch = 2, &cornelwall.BatchJob{ID: "00000000000000bb", Steps: []cornelwall.Step{fullEndpointStep}}
	c.Step(clock.now, second)
	assert.Equal(t, len(c.backlog), 1)

	const freeze = 2 * time.Second
	cost := func(ev cornelwall.Event) time.Duration {
		if _, ok := ev.(cornelwall.CountWaiting); ok {
			return freeze
		}
		return 0
	}
	starts := recordStarts(t, c, clock, cost, []cornelwall.Event{
		cornelwall.CountWaiting{Req: 9},
		cornelwall.PollResult{
			Endpoint: "x1", Fence: l.fence, Seq: l.lastPoll, Boot: 1, Clock: time.Second + freeze,
			Ended: []cornelwall.RunEnded{{Seq: 1, RunID: r.id, End: cornelwall.RunDone}},
		},
		cornelwall.CallerGone{Req: 2},
	})
	assert.Equal(t, len(starts), 0, "a start is ordered %s after the freeze began, before the event that the caller is gone is handled", freeze)
}

// assignRecorder sends the first run of each assignment to another entry to its channel.
type assignRecorder chan cornelwall.RunID

func (a assignRecorder) Handle(cmd cornelwall.Command) {
	if s, ok := cmd.(cornelwall.Send); ok && s.Message.Assign != nil {
		a <- s.Message.Assign.Tasks[0].RunID
	}
}

// TestNoStartForGoneCallerAfterEventBacklog lets a caller leave while events that take 1.4 s to
// handle are queued. The end of the first step is among them, but once the caller may have
// submitted its batch elsewhere, the second step must not start.
func TestNoStartForGoneCallerAfterEventBacklog(t *testing.T) {
	clock := &manualClock{now: time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)}
	other := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	c, l := newAcquiringCore(clock.now)
	openLink(c, clock.now, other, cornelwall.FreeCapacity{Total: 8000, Free: []cornelwall.Resources{{Cores: 8000}}})
	clock.advance(tickInterval)
	c.Step(clock.now, cornelwall.Tick{})

	blocked, release := make(chan struct{}), make(chan struct{})
	loop := control.New(&slowCore{Core: c, clock: clock, cost: func(ev cornelwall.Event) time.Duration {
		switch ev.(type) {
		case cornelwall.CountWaiting:
			close(blocked)
			<-release
		case cornelwall.Receive:
			return time.Millisecond
		}
		return 0
	}}, clock, logr.Discard())
	starts, assigned := &startRecorder{clock: clock}, make(assignRecorder, 1)
	loop.Connect(assigned, starts, &startRecorder{clock: clock})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = loop.Run(ctx) }()

	caller, leave := context.WithCancel(ctx)
	answered := make(chan error, 1)
	go func() {
		_, err := loop.Ask(caller, func(req uint64) cornelwall.Event {
			after := fullEndpointStep
			after.After = []int{0}
			ev := submission(fullEndpointStep, after)
			ev.Req = req
			return ev
		})
		answered <- err
	}()
	var run cornelwall.RunID
	select {
	case run = <-assigned:
	case <-time.After(10 * time.Second):
		t.Fatal("the first task is not assigned")
	}
	loop.Post(cornelwall.CountWaiting{Req: 1 << 40})
	<-blocked
	left := clock.Now()
	loop.Post(emptyPollResult(l, left))
	for n := range 1400 {
		loop.Post(receive(other, cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: testAddr, Seq: uint64(3 + n), Session: 7}}))
	}
	loop.Post(receive(other, cornelwall.Message{RunResults: &cornelwall.RunResults{Runs: []cornelwall.RunResult{{RunID: run, End: cornelwall.RunDone, Endpoint: "x2"}}}}))
	leave()
	assert.Assert(t, <-answered != nil)
	close(release)
	_, err := loop.Ask(ctx, func(req uint64) cornelwall.Event { return cornelwall.FetchStatus{Req: req} })
	assert.NilError(t, err)
	cancel()
	<-loop.Done()
	for _, at := range starts.at {
		assert.Assert(t, at.Sub(left) < callerRetryDelay, "a start is ordered %s after its caller has left", at.Sub(left))
	}
}

// TestUnknownRunIsWithdrawn cancels a batch just before the new holder of its run reports that run,
// and loses the withdrawal to the previous holder. The owner must withdraw the reported run at the
// new holder.
func TestUnknownRunIsWithdrawn(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	previous := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	next := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e3", Epoch: 1}
	c := newReadyCore(now, previous)
	openLink(c, now, next, cornelwall.FreeCapacity{})
	c.Step(now, submission(fullEndpointStep))
	run := c.jobs["00000000000000aa"].tasks[0].run
	reportStarted := func(from cornelwall.Incarnation, fence uint64) []cornelwall.Command {
		return c.Step(now, receive(from, cornelwall.Message{RunsStarted: &cornelwall.RunsStarted{Endpoint: "x2", Fence: fence, Runs: []cornelwall.RunID{run}}}))
	}
	reportStarted(previous, 1)
	assert.Assert(t, containsWithdrawal(c.Step(now, cornelwall.CallerGone{Req: 1}), previous, run))
	c.Step(now, cornelwall.Undelivered{ConnRefused: true, Envelope: cornelwall.Envelope{To: previous, Messages: []cornelwall.Message{
		{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{run}}},
	}}})
	now = now.Add(tickInterval)
	cmds := reportStarted(next, 2)
	for range 10 {
		now = now.Add(tickInterval)
		cmds = append(cmds, c.Step(now, cornelwall.Tick{})...)
	}
	assert.Assert(t, containsWithdrawal(cmds, next, run), "the new holder keeps a run that nobody waits for, as its owner still answers heartbeats")
}

// containsWithdrawal reports whether the commands withdraw a run at an entry.
func containsWithdrawal(cmds []cornelwall.Command, to cornelwall.Incarnation, run cornelwall.RunID) bool {
	for _, cmd := range cmds {
		s, ok := cmd.(cornelwall.Send)
		if !ok || s.To != to || s.Message.Withdraw == nil {
			continue
		}
		for _, id := range s.Message.Withdraw.Runs {
			if id == run {
				return true
			}
		}
	}
	return false
}

// TestStoppingRunIsNotOffered withdraws a run at a holder that then offers its endpoint to another
// entry. The offer must not list the run, or the next holder would keep it.
func TestStoppingRunIsNotOffered(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	owner := cornelwall.Incarnation{DataCentre: "dc1", Entry: "e2", Epoch: 1}
	c := newReadyCore(now, owner)
	l := c.endpoints["x1"].lease
	r := &run{id: cornelwall.RunID{Task: "a.0.0.0", Run: 1}, owner: owner, state: runRunning, receivedAt: now, startedAt: now}
	c.runs[r.id] = r
	l.addRun(r)
	c.Step(now, receive(owner, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{r.id}}}))
	assert.Equal(t, r.state, runStopping)
	offered := false
	for _, cmd := range c.Step(now, cornelwall.Stop{}) {
		if s, ok := cmd.(cornelwall.Send); ok && s.Message.Handover != nil {
			offered = true
			assert.Equal(t, len(s.Message.Handover.Runs), 0, "the next holder keeps a run that its owner has withdrawn")
		}
	}
	assert.Assert(t, offered)
}

// TestPollSentBeforeDelayedStartReplyEndsNoRun lets a start reply wait for 10 ms in the event
// queue, followed by the answer to a poll that was sent before the reply was handled. The endpoint
// may have answered it before it started the run, so it must not end the run.
func TestPollSentBeforeDelayedStartReplyEndsNoRun(t *testing.T) {
	clock := &manualClock{now: time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)}
	c := newReadyCore(clock.now, cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1})
	c.Step(clock.now, submission(fullEndpointStep))
	l := c.endpoints["x1"].lease
	id := l.sortedRuns()[0].id
	const slow = 10 * time.Millisecond
	recordStarts(t, c, clock, func(ev cornelwall.Event) time.Duration {
		if _, ok := ev.(cornelwall.CountWaiting); ok {
			return slow
		}
		return 0
	}, []cornelwall.Event{
		cornelwall.CountWaiting{Req: 9},
		cornelwall.OrderResult{Endpoint: "x1", Fence: l.fence, Run: id, Clock: time.Second},
		cornelwall.PollResult{Endpoint: "x1", Fence: l.fence, Seq: l.lastPoll, Boot: 1, Clock: time.Second},
	})
	assert.Assert(t, c.runs[id] != nil, "a run that has just started counts as ended, and its task is retried")
}

// TestRunOfLateAssignmentEndsBeforeCallerRetries kills an owner whose assignment is read 420 ms
// after it was sent. The run must end, even if only by the end of the lease, before the caller
// submits the batch to another entry.
func TestRunOfLateAssignmentEndsBeforeCallerRetries(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	owner := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	c := newReadyCore(now, owner)
	killed := now // after it has sent the assignment
	for end := now.Add(proofTTL - 30*time.Millisecond); now.Before(end); {
		now = now.Add(tickInterval)
		c.Step(now, cornelwall.Tick{})
	}
	c.Step(now, receive(owner, cornelwall.Message{Assign: &cornelwall.Assign{
		Session: c.peers[owner].session, Service: "s", UsefulFor: 9 * time.Second, DueIn: 9 * time.Second,
		Tasks: []cornelwall.AssignTask{{RunID: cornelwall.RunID{Task: "a.0.0.0", Run: 1}, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second}},
	}}))
	if len(c.endpoints["x1"].lease.runs) == 0 {
		return // the assignment is rejected, which is safe as well
	}
	for range 100 {
		now = now.Add(tickInterval)
		for _, cmd := range c.Step(now, cornelwall.Tick{}) {
			if _, ok := cmd.(cornelwall.StopRun); ok {
				endsAt := now.Add(stopRetryInterval + confirmPollInterval + leaseTTL + c.cfg.Limits.StopDelay)
				assert.Assert(t, endsAt.Sub(killed) < callerRetryDelay, "ends %s after its owner was killed if no stop reaches the endpoint", endsAt.Sub(killed))
				return
			}
		}
	}
	t.Fatal("the run is not stopped")
}
