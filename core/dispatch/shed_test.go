package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/policy"
)

// newShedCore is a core with two endpoints for two tasks each that sheds load, or not, and has a queue of class 1.
func newShedCore(t *testing.T, shed bool) *speedCore {
	s := newSpeedCore(t)
	s.cfg.Shed, s.cfg.PlaceBySpeed = shed, false
	s.step(cornelwall.QueueConfigRead{Config: &cornelwall.QueueConfig{Version: 1, Queues: []cornelwall.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Priority: 1, Timeout: 5 * time.Second, Stretch: 1.6}}}})
	return s
}

// assignOf assigns a task of a class that is due after 10 s.
func (s *speedCore) assignOf(class int, task string, cores int, estimate time.Duration) {
	s.handleAssign(s.cfg.Self, &cornelwall.Assign{Service: "s", Class: class, DueIn: 10 * time.Second, UsefulFor: 20 * time.Second, Remaining: 1, Count: 1, Tasks: []cornelwall.AssignTask{{
		RunID: cornelwall.RunID{Task: task, Run: uint64(len(s.runs) + 1)}, Need: cornelwall.Resources{Cores: cores}, Estimate: estimate,
	}}})
	s.step(cornelwall.Tick{})
}

// fill starts four tasks of a class, which take all cores.
func (s *speedCore) fill(class int) {
	for i := range 4 {
		s.assignOf(class, fmt.Sprintf("fill.0.0.%d", i), 8000, time.Second)
	}
}

// submit submits a batch of one task of 100 ms, and returns its answer or nil.
func (s *speedCore) submit() *cornelwall.BatchAnswer {
	return answerIn(s.Step(s.now, cornelwall.SubmitBatch{Req: 1, Host: "h", Path: "/q/1", TimeLeft: 5 * time.Second, Batch: &cornelwall.BatchJob{
		ID: "00000000000000ab", Steps: []cornelwall.Step{{Count: 1, Need: cornelwall.Resources{Cores: 8000}, Estimate: 100 * time.Millisecond}},
	}}))
}

func answerIn(commands []cornelwall.Command) *cornelwall.BatchAnswer {
	for _, cmd := range commands {
		if cmd, ok := cmd.(cornelwall.ReplyBatch); ok {
			return &cmd.Answer
		}
	}
	return nil
}

// TestLateBatchMakesWay submits a batch before others that can be on time, and lets its target time pass. It guards against a batch
// that keeps its place until its answer is of no use, and against one that is refused where the part is off.
func TestLateBatchMakesWay(t *testing.T) {
	for _, shed := range []bool{true, false} {
		s := newShedCore(t, shed)
		s.fill(0)
		assert.Assert(t, s.submit() == nil)
		for i := range 3 {
			s.assignOf(0, fmt.Sprintf("crowd.0.0.%d", i), 8000, time.Second)
		}
		var answer *cornelwall.BatchAnswer
		start := s.now
		for answer == nil && s.now.Sub(start) < 200*time.Millisecond {
			s.now = s.now.Add(tickInterval)
			answer = answerIn(s.Step(s.now, cornelwall.Tick{}))
		}
		assert.Equal(t, answer != nil, shed)
		if shed {
			assert.Assert(t, answer.End == cornelwall.BatchRefused && answer.Reason == cornelwall.ReasonShed && answer.RetryAfter >= time.Second, "%+v", answer)
			assert.Assert(t, s.now.Sub(start) > 100*time.Millisecond && s.overload.shed["q"] == 1 && s.overloadedFor() > 0)
		}
	}
}

// TestAdmissionByTheQueueOfAll guards against batches that are taken although they will be late: behind the work that waits at other
// holders too, and behind what arrives of higher classes. Without Shed the best holder counts.
func TestAdmissionByTheQueueOfAll(t *testing.T) {
	for _, tc := range []struct {
		name   string
		shed   bool
		queued int     // milliseconds of work of class 1 at a peer with as many cores
		demand float64 // cores of class 0
		want   cornelwall.Reason
	}{
		{"short queue", true, 100, 0, cornelwall.ReasonNone},
		{"short queue, overtaken", true, 100, 24, cornelwall.ReasonShed},
		{"long queue", true, 140, 0, cornelwall.ReasonShed},
		{"long queue, not shed", false, 140, 24, cornelwall.ReasonNone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newShedCore(t, tc.shed)
			id := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
			s.step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: id, To: s.cfg.Self, Messages: []cornelwall.Message{{SessionHeartbeat: &cornelwall.SessionHeartbeat{
				Addr: s.cfg.Addr, Seq: 1, Session: 1, FreeCapacity: cornelwall.FreeCapacity{Total: 32000, Queued: []int{0, 32000 * tc.queued, 32000 * 5000, 0}},
			}}}}})
			s.peers[id].sessionOpen = true
			s.addLink(s.peers[id])
			s.load.demand["s"] = new([cornelwall.FreeCapacityClasses]policy.MovingRate)
			s.load.demand["s"][0].Add(s.now, tc.demand/2) // in half a second
			got := cornelwall.ReasonNone
			if a := s.submit(); a != nil {
				got = a.Reason
			}
			assert.Equal(t, got, tc.want)
			assert.Equal(t, s.load.retries["s"] != nil, got == cornelwall.ReasonShed, "the plan of returns")
		})
	}
}

// TestBacklogOrderWhereLoadIsShed guards against an order in which batches of a lower class go before those of a higher one with little
// left to start, and against a class that gets nothing while others wait.
func TestBacklogOrderWhereLoadIsShed(t *testing.T) {
	for _, tc := range []struct {
		shed    bool
		started int // class of what runs
		want    string
	}{
		{true, 1, "high.0.0.0"},
		{true, 0, "low.0.0.0"}, // nothing of its class has started
		{false, 1, "low.0.0.0"},
	} {
		s := newShedCore(t, tc.shed)
		s.fill(tc.started)
		s.classShares.Record(s.now, 0, 8000, time.Second)
		s.assignOf(0, "high.0.0.0", 8000, time.Second)
		s.assignOf(1, "low.0.0.0", 8000, time.Second)
		s.backlog[slices.IndexFunc(s.backlog, func(r *run) bool { return r.class == 1 })].remaining = 0.5
		s.sortBacklog()
		assert.Equal(t, s.backlog[0].id.Task, tc.want, "%+v", tc)
	}
}

// TestReservationForLargeRun guards against small runs that take each place before it is large enough for a large one.
func TestReservationForLargeRun(t *testing.T) {
	for _, shed := range []bool{true, false} {
		s := newShedCore(t, shed)
		s.heldEndpoints = slices.Repeat(s.heldEndpoints, 2) // so many that one may be reserved
		s.assignOf(0, "a.0.0.0", 10000, 5*time.Second)
		s.assignOf(0, "a.0.0.1", 10000, 5*time.Second)
		s.assignOf(0, "large.0.0.0", 12000, time.Second)
		r := s.backlog[0]
		r.receivedAt = s.now.Add(-10 * time.Second)
		s.assignOf(0, "small.0.0.0", 5000, 9*time.Second)
		s.assignOf(0, "small.0.0.1", 5000, 9*time.Second)
		s.assignOf(0, "short.0.0.0", 5000, time.Second)
		assert.Equal(t, s.starts["small.0.0.1"] == "", shed)
		assert.Equal(t, s.starts["short.0.0.0"] != "", shed, "it ends before the large one can start")
	}
}

// TestLateRunsAreNotReportedAsQueued guards against owners that turn batches away for work which goes behind them.
func TestLateRunsAreNotReportedAsQueued(t *testing.T) {
	for _, shed := range []bool{true, false} {
		s := newShedCore(t, shed)
		s.fill(0)
		s.assign("late.0.0.0", 50*time.Millisecond)
		assert.Equal(t, len(s.freeCapacity().Queued) == 0, shed)
	}
}
