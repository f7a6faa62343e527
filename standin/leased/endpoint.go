// Package leased is a stand-in of an endpoint that runs tasks under a lease and fences.
// It has no goroutine and no clock of its own, so that it serves tests under a virtual
// clock as well as the HTTP stand-in of this package.
//
// # Usage
//
//	ep := leased.New("executor-1", room, now)
//	refusal := ep.Start(now, cmd)
//	looked := ep.Look(now, look)
package leased

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
)

const (
	maxLease  = time.Second
	stopDelay = 50 * time.Millisecond
	// clockRate is how fast the endpoint's clock runs; the slowest that is allowed.
	clockRate = 0.98
)

// SimulatedRun is what a run takes and how it ends.
type SimulatedRun struct {
	Duration time.Duration
	End      cornelwall.RunEnd
}

type runState struct {
	id     cornelwall.RunID
	endsAt time.Time // of its work, or of its stop
	runEnd cornelwall.RunEnd
	need   cornelwall.Resources
}

// Endpoint holds what runs on one endpoint.
type Endpoint struct {
	ID       string
	Capacity cornelwall.Resources
	// Work decides what a run takes.
	Simulate func(cornelwall.RunID) SimulatedRun
	// Began and Over are told of each run that begins and ends.
	OnStart func(now time.Time, id cornelwall.RunID)
	OnEnd   func(now time.Time, id cornelwall.RunID, how cornelwall.RunEnd)
	// Need tells what a task takes up, as a start does not name it.
	NeedOf func(task string) cornelwall.Resources
	// Down endpoints answer nothing; what runs there goes on.
	Down bool
	// NoFence endpoints take orders under any fence.
	IgnoreFence bool

	startedAt  time.Time
	boot       int64
	fence      uint64
	leaseUntil time.Duration // end of the lease on its clock
	runs       map[string]*runState
	highestRun map[string]uint64 // runs of a task up to this one are not started again
	ended      []cornelwall.RunEnded
	lastSeq    int64
}

// New returns an endpoint that has just started.
func New(id string, room cornelwall.Resources, now time.Time) *Endpoint {
	e := &Endpoint{ID: id, Capacity: room}
	e.Restart(now)
	return e
}

// Restart ends all runs and forgets everything, as a crash does.
func (e *Endpoint) Restart(now time.Time) {
	for _, task := range slices.Sorted(maps.Keys(e.runs)) {
		e.endRun(now, e.runs[task], cornelwall.RunLapsed)
	}
	e.startedAt, e.boot = now, now.UnixMilli()
	e.fence, e.leaseUntil, e.lastSeq = 0, 0, 0
	e.runs, e.highestRun, e.ended = map[string]*runState{}, map[string]uint64{}, nil
}

// Boot returns its start in milliseconds since 1970.
func (e *Endpoint) Boot() int64 { return e.boot }

// Clock returns the time on the endpoint's own clock.
func (e *Endpoint) Clock(now time.Time) time.Duration {
	return time.Duration(clockRate * float64(now.Sub(e.startedAt)))
}

// Advance ends what has ended by now.
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

func (e *Endpoint) endRun(now time.Time, s *runState, how cornelwall.RunEnd) {
	delete(e.runs, s.id.Task)
	e.highestRun[s.id.Task] = max(e.highestRun[s.id.Task], s.id.Run)
	e.lastSeq++
	e.ended = append(e.ended, cornelwall.RunEnded{Seq: e.lastSeq, RunID: s.id, End: how})
	if e.OnEnd != nil {
		e.OnEnd(now, s.id, how)
	}
}

// refusesFence takes the fence of an order and reports whether it is too low.
func (e *Endpoint) refusesFence(fence uint64) bool {
	if fence < e.fence && !e.IgnoreFence {
		return true
	}
	e.fence = fence
	return false
}

func (e *Endpoint) extendLease(now time.Time, until time.Duration) {
	e.leaseUntil = max(e.leaseUntil, min(until, e.Clock(now)+maxLease))
}

// Start carries out a start.
func (e *Endpoint) Start(now time.Time, cmd cornelwall.StartRun) cornelwall.Refusal {
	e.Advance(now)
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
	w := e.Simulate(cmd.Run)
	e.runs[cmd.Run.Task] = &runState{id: cmd.Run, endsAt: now.Add(w.Duration), runEnd: w.End, need: need}
	if e.OnStart != nil {
		e.OnStart(now, cmd.Run)
	}
	return cornelwall.RefusedNone
}

// Stop carries out a stop. A run that is not there yet will not start.
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

// Poll extends the lease, forgets acknowledged ends and lists what runs and what ended.
func (e *Endpoint) Poll(now time.Time, cmd cornelwall.PollEndpoint) cornelwall.PollResult {
	e.Advance(now)
	l := cornelwall.PollResult{Endpoint: e.ID, Fence: cmd.Fence, Seq: cmd.Seq, Boot: e.boot, Clock: e.Clock(now)}
	if e.refusesFence(cmd.Fence) {
		l.Refusal = cornelwall.RefusedFence
		return l
	}
	e.extendLease(now, cmd.LeaseUntil)
	e.ended = slices.DeleteFunc(e.ended, func(x cornelwall.RunEnded) bool { return x.Seq <= cmd.AckedThrough })
	for _, task := range slices.Sorted(maps.Keys(e.runs)) {
		l.Running = append(l.Running, cornelwall.RunState{RunID: e.runs[task].id})
	}
	l.Ended = slices.Clone(e.ended)
	return l
}

// HasUnackedEnds reports whether there is an end that a look with this acknowledgement would list.
func (e *Endpoint) HasUnackedEnds(now time.Time, acked int64) bool {
	e.Advance(now)
	return e.lastSeq > acked && len(e.ended) > 0 && e.ended[len(e.ended)-1].Seq > acked
}

// Running returns what runs now.
func (e *Endpoint) Running(now time.Time) []cornelwall.RunID {
	e.Advance(now)
	var ids []cornelwall.RunID
	for _, task := range slices.Sorted(maps.Keys(e.runs)) {
		ids = append(ids, e.runs[task].id)
	}
	return ids
}
