package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestNextHolderKnowsSpeed hands an endpoint over. It guards against a holder that treats a slow endpoint as a usual one until
// it has seen some runs there, and against a report where the part is off.
func TestNextHolderKnowsSpeed(t *testing.T) {
	for _, placeBySpeed := range []bool{true, false} {
		s, next, holder := newOwnerAndHolder(t)
		for _, c := range s.cores {
			c.cfg.PlaceBySpeed = placeBySpeed
		}
		for range 12 {
			s.cores[holder].endpoints["x1"].health.RecordSpeed(s.now, 1.8, 1, false)
		}
		v := s.cores[holder].freeCapacity()
		assert.Assert(t, len(v.Free) == 1 && (len(v.Paces) == 1) == placeBySpeed, "%+v", v)
		s.step(holder, cornelwall.Stop{TimeLeft: 5 * time.Second})
		s.advance(time.Second)
		assert.Equal(t, s.cores[next].Held(), 1)
		health := &s.cores[next].endpoints["x1"].health
		if assert.Check(t, health.Speed().IsKnown(s.now) == placeBySpeed); placeBySpeed {
			pace := health.Pace(s.now, 1)
			assert.Assert(t, pace > 1.5 && pace < 1.8, "%g", pace)
		}
	}
}

// speedCore is a core that holds a fast and a slow endpoint for two tasks each and places by speed.
type speedCore struct {
	*Core
	t      *testing.T
	now    time.Time
	starts map[string]string // endpoint of each task
}

func newSpeedCore(t *testing.T) *speedCore {
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	s := &speedCore{t: t, now: time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC), starts: map[string]string{}}
	s.Core = New(Config{
		Self: cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}, Addr: addr, PlaceBySpeed: true,
		Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond},
	}, s.now)
	for id, slowdown := range map[string]float64{"fast": 0.83, "slow": 1.82} {
		ep := s.addEndpoint(cornelwall.Endpoint{ID: id, Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}, Boot: 5})
		for range 15 {
			ep.health.RecordSpeed(s.now, slowdown, 1, false)
		}
		s.acquire(ep, nil)
		s.step(cornelwall.PollResult{Endpoint: id, Fence: ep.lease.fence, Seq: ep.lease.lastPoll, Boot: 5, Clock: time.Second})
	}
	return s
}

func (s *speedCore) step(ev cornelwall.Event) {
	for _, cmd := range s.Step(s.now, ev) {
		if cmd, ok := cmd.(cornelwall.StartRun); ok {
			s.starts[cmd.Run.Task] = cmd.Endpoint.ID
		}
	}
}

// assign assigns a task of 100 ms that is due after a time.
func (s *speedCore) assign(task string, due time.Duration) {
	s.handleAssign(s.cfg.Self, &cornelwall.Assign{Service: "s", DueIn: due, UsefulFor: time.Second, Remaining: 1, Count: 1, Tasks: []cornelwall.AssignTask{{
		RunID: cornelwall.RunID{Task: task, Run: uint64(len(s.runs) + 1)}, Need: cornelwall.Resources{Cores: 8000}, Estimate: 100 * time.Millisecond,
	}}})
	s.step(cornelwall.Tick{})
}

// TestRunsArePlacedBySpeed guards against fast endpoints that are full of runs that have time, and against runs that start where
// they are late although a fast endpoint is about to have room.
func TestRunsArePlacedBySpeed(t *testing.T) {
	s := newSpeedCore(t)
	s.assign("time.0.0.0", 300*time.Millisecond)
	assert.Equal(t, s.starts["time.0.0.0"], "slow")
	s.assign("urgent.0.0.0", 120*time.Millisecond)
	s.assign("urgent.0.0.1", 120*time.Millisecond)
	assert.Equal(t, s.starts["urgent.0.0.0"], "fast")
	assert.Equal(t, s.starts["urgent.0.0.1"], "fast")
	s.assign("urgent.0.0.2", 120*time.Millisecond)
	assert.Equal(t, s.starts["urgent.0.0.2"], "", "it is late on the slow one")
	s.now = s.now.Add(40 * time.Millisecond)
	s.step(cornelwall.Tick{})
	assert.Equal(t, s.starts["urgent.0.0.2"], "slow", "it is late on the fast one too")
	assert.Equal(t, len(s.freeCapacity().Paces), 0, "nothing is free")
}

// TestLongTaskIsToldFromSlowEndpoint guards against a task of seven times the usual length that is stopped, or takes its
// endpoint out of use, although tasks beside it take no longer than usual.
func TestLongTaskIsToldFromSlowEndpoint(t *testing.T) {
	s := newSpeedCore(t)
	l := s.endpoints["fast"].lease
	start := func(task string) *run {
		r := &run{id: cornelwall.RunID{Task: task, Run: 1}, owner: s.cfg.Self, state: runRunning, receivedAt: s.now, startedAt: s.now, startAnswered: true}
		r.Estimate, r.Need.Cores = 100*time.Millisecond, 5000
		s.runs[r.id] = r
		l.addRun(r)
		r.recordProgress(s.now, 0, s.now.Sub(s.startedAt))
		return r
	}
	long, other := start("long.0.0.0"), start("long.0.0.1")
	usual := start("usual.0.0.0")
	s.now = s.now.Add(90 * time.Millisecond)
	s.Core.now = s.now
	for _, r := range []*run{long, other} {
		r.recordProgress(s.now, 0.13, s.now.Sub(s.startedAt))
	}
	assert.Assert(t, s.isSlow(l), "two runs of four times the length are no accident")
	s.endRun(usual, cornelwall.RunDone, endListed)
	assert.Assert(t, long.longTask && other.longTask && !s.isSlow(l))
	assert.Equal(t, s.speedCounts.longTasks, 2)

	s.now = s.now.Add(2 * time.Second)
	s.Core.now = s.now
	assert.Assert(t, s.isSlow(l), "nothing was heard of them since")
}
