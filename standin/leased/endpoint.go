// Package leased simulates an endpoint that runs tasks under a lease and checks fencing tokens.
// It has no goroutine and reads no clock: the caller passes the time, so that tests can use
// a virtual clock.
//
// # Usage
//
//	ep := leased.New("executor-1", capacity, now)
//	refusal := ep.Start(now, start)
//	result := ep.Poll(now, poll)
package leased

import (
	"maps"
	"math"
	"slices"
	"time"

	"cornelwall"
)

const (
	maxLease  = time.Second           // from the time of a request
	stopDelay = 50 * time.Millisecond // until a stopped run has ended
	// clockRate is the rate of the endpoint's clock to real time: the slowest that is allowed.
	clockRate = 0.98
)

// SimulatedRun is how long a run takes and how it ends.
type SimulatedRun struct {
	Duration time.Duration
	End      cornelwall.RunEnd
}

// runState is a run in progress.
type runState struct {
	id        cornelwall.RunID
	startedAt time.Time
	duration  time.Duration // of its work
	endsAt    time.Time     // the end of its work, or of its stop
	runEnd    cornelwall.RunEnd
	need      cornelwall.Resources
}

// progress returns the share of the work that is done, rounded down to whole percent.
func (s *runState) progress(now time.Time) float64 {
	return math.Floor(100*min(float64(now.Sub(s.startedAt))/float64(s.duration), 1)) / 100
}

// Endpoint is the state of one endpoint: its lease, its fence (the highest fencing token seen) and its
// runs.
type Endpoint struct {
	ID       string
	Capacity cornelwall.Resources
	// Simulate decides how long a run takes and how it ends.
	Simulate func(cornelwall.RunID) SimulatedRun
	// OnStart and OnEnd, unless nil, are called for each run that starts and ends.
	OnStart func(now time.Time, id cornelwall.RunID)
	OnEnd   func(now time.Time, id cornelwall.RunID, end cornelwall.RunEnd)
	// NeedOf returns the resources of a task, as a start request does not carry them.
	NeedOf func(task string) cornelwall.Resources
	// Down is set while the endpoint answers no request. Its runs go on.
	Down bool
	// IgnoreFence makes the endpoint accept requests under any fence.
	IgnoreFence bool

	startedAt  time.Time
	boot       int64
	fence      uint64
	leaseUntil time.Duration // on the clock of the endpoint
	runs       map[string]*runState
	highestRun map[string]uint64 // by task; runs up to this number are not started
	ended      []cornelwall.RunEnded
	lastSeq    int64
}

// New returns an endpoint that has just started.
func New(id string, capacity cornelwall.Resources, now time.Time) *Endpoint {
	e := &Endpoint{ID: id, Capacity: capacity}
	e.Restart(now)
	return e
}

// Crash ends all runs. The endpoint is down until it is restarted and Down is cleared.
func (e *Endpoint) Crash(now time.Time) {
	for _, task := range slices.Sorted(maps.Keys(e.runs)) {
		e.endRun(now, e.runs[task], cornelwall.RunLapsed)
	}
	e.Down = true
}

// Restart ends all runs and clears all state, as a crash does.
func (e *Endpoint) Restart(now time.Time) {
	for _, task := range slices.Sorted(maps.Keys(e.runs)) {
		e.endRun(now, e.runs[task], cornelwall.RunLapsed)
	}
	e.startedAt, e.boot = now, now.UnixMilli()
	e.fence, e.leaseUntil, e.lastSeq = 0, 0, 0
	e.runs, e.highestRun, e.ended = map[string]*runState{}, map[string]uint64{}, nil
}

// Boot returns the start time of the endpoint in milliseconds since 1970.
func (e *Endpoint) Boot() int64 { return e.boot }

// Clock returns the time on the endpoint's own clock.
func (e *Endpoint) Clock(now time.Time) time.Duration {
	return time.Duration(clockRate * float64(now.Sub(e.startedAt)))
}

// Advance ends the runs that are done by now or whose lease has lapsed.
func (e *Endpoint) Advance(now time.Time) {
	lapse := e.startedAt.Add(time.Duration(float64(e.leaseUntil) / clockRate))
	for _, task := range slices.Sorted(maps.Keys(e.runs)) {
		s := e.runs[task]
		switch {
		case !s.endsAt.After(now) && !s.endsAt.After(lapse):
			e.endRun(s.endsAt, s, s.runEnd)
		case !lapse.After(now):
			e.endRun(lapse, s, cornelwall.RunLapsed)
		}
	}
}

func (e *Endpoint) endRun(now time.Time, s *runState, end cornelwall.RunEnd) {
	delete(e.runs, s.id.Task)
	e.highestRun[s.id.Task] = max(e.highestRun[s.id.Task], s.id.Run)
	e.lastSeq++
	e.ended = append(e.ended, cornelwall.RunEnded{Seq: e.lastSeq, RunID: s.id, End: end})
	if e.OnEnd != nil {
		e.OnEnd(now, s.id, end)
	}
}

// refusesFence reports whether the fence of a request is too low; otherwise it records the
// fence.
func (e *Endpoint) refusesFence(fence uint64) bool {
	if fence < e.fence && !e.IgnoreFence {
		return true
	}
	e.fence = fence
	return false
}

// extendLease extends the lease, to maxLease from now at most. A lease never gets shorter.
func (e *Endpoint) extendLease(now time.Time, until time.Duration) {
	e.leaseUntil = max(e.leaseUntil, min(until, e.Clock(now)+maxLease))
}

// Start starts a run. It is idempotent: a run that is already in progress is not refused.
func (e *Endpoint) Start(now time.Time, cmd cornelwall.StartRun) cornelwall.Refusal {
	e.Advance(now)
	if cmd.Boot != 0 && cmd.Boot != e.boot {
		return cornelwall.RefusedRestarted
	}
	if e.refusesFence(cmd.Fence) {
		return cornelwall.RefusedFence
	}
	if cmd.LeaseUntil <= e.Clock(now) {
		return cornelwall.RefusedLate
	}
	e.extendLease(now, cmd.LeaseUntil)
	if s := e.runs[cmd.Run.Task]; s != nil && s.id == cmd.Run {
		return cornelwall.RefusedNone
	} else if s != nil || cmd.Run.Run <= e.highestRun[cmd.Run.Task] {
		return cornelwall.RefusedOld
	}
	need := e.NeedOf(cmd.Run.Task)
	used := need
	for _, s := range e.runs {
		used = used.Plus(s.need)
	}
	if !used.Fits(e.Capacity) {
		return cornelwall.RefusedRoom
	}
	sim := e.Simulate(cmd.Run)
	e.runs[cmd.Run.Task] = &runState{id: cmd.Run, startedAt: now, duration: sim.Duration, endsAt: now.Add(sim.Duration), runEnd: sim.End, need: need}
	if e.OnStart != nil {
		e.OnStart(now, cmd.Run)
	}
	return cornelwall.RefusedNone
}

// Stop stops a run. A run that has not started yet is refused from then on.
func (e *Endpoint) Stop(now time.Time, cmd cornelwall.StopRun) cornelwall.Refusal {
	e.Advance(now)
	if e.refusesFence(cmd.Fence) {
		return cornelwall.RefusedFence
	}
	e.highestRun[cmd.Run.Task] = max(e.highestRun[cmd.Run.Task], cmd.Run.Run)
	if s := e.runs[cmd.Run.Task]; s != nil && s.id == cmd.Run {
		if end := now.Add(stopDelay); end.Before(s.endsAt) {
			s.endsAt, s.runEnd = end, cornelwall.RunStopped
		}
	}
	return cornelwall.RefusedNone
}

// Poll extends the lease, drops acknowledged ends and lists the running and the ended runs.
func (e *Endpoint) Poll(now time.Time, cmd cornelwall.PollEndpoint) cornelwall.PollResult {
	e.Advance(now)
	result := cornelwall.PollResult{Endpoint: e.ID, Fence: cmd.Fence, Seq: cmd.Seq, Boot: e.boot, Clock: e.Clock(now)}
	if e.refusesFence(cmd.Fence) {
		result.Refusal = cornelwall.RefusedFence
		return result
	}
	e.extendLease(now, cmd.LeaseUntil)
	e.ended = slices.DeleteFunc(e.ended, func(x cornelwall.RunEnded) bool { return x.Seq <= cmd.AckedEnd })
	for _, task := range slices.Sorted(maps.Keys(e.runs)) {
		s := e.runs[task]
		result.Running = append(result.Running, cornelwall.RunState{RunID: s.id, Progress: s.progress(now)})
	}
	result.Ended = slices.Clone(e.ended)
	return result
}

// HasUnackedEnds reports whether a poll that acknowledges ends through acked would list any.
func (e *Endpoint) HasUnackedEnds(now time.Time, acked int64) bool {
	e.Advance(now)
	return e.lastSeq > acked && len(e.ended) > 0 && e.ended[len(e.ended)-1].Seq > acked
}

// Running returns the runs in progress, ordered by task.
func (e *Endpoint) Running(now time.Time) []cornelwall.RunID {
	e.Advance(now)
	var ids []cornelwall.RunID
	for _, task := range slices.Sorted(maps.Keys(e.runs)) {
		ids = append(ids, e.runs[task].id)
	}
	return ids
}
