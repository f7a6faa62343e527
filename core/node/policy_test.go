package node_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/node"
	"cornelwall/standin/fake"
)

// site simulates one entry with executors and records its answers.
type site struct {
	*fake.World
	host    *fake.Host
	vms     []cornelwall.VM
	ran     map[string]int // number of starts by machine
	answers map[uint64]cornelwall.Answer
	req     uint64
}

func newSite(tb testing.TB, executors int, profile cornelwall.Profile, work func(machine string) (time.Duration, cornelwall.Result)) *site {
	tb.Helper()
	now := time.Unix(1700000000, 0)
	s := &site{World: fake.NewWorld(now), ran: map[string]int{}, answers: map[uint64]cornelwall.Answer{}}
	s.TaskResult = func(_ *fake.Host, r cornelwall.RunTask) (time.Duration, cornelwall.Result) {
		s.ran[r.VM.Name]++
		return work(r.VM.Name)
	}
	s.OnOutput = func(_ *fake.Host, cmd cornelwall.Command) {
		if r, ok := cmd.(cornelwall.Reply); ok {
			s.answers[r.Req] = r.Answer
		}
	}
	self := cornelwall.Incarnation{DataCentre: "ikeja", Entry: "e0", Epoch: 1}
	addr := netip.MustParseAddrPort("127.0.0.1:7001")
	for i := range executors {
		s.vms = append(s.vms, cornelwall.VM{Name: fmt.Sprintf("x%d", i), Kind: cornelwall.Executor, DataCentre: "ikeja",
			Addr: netip.MustParseAddrPort("127.0.0.2:80"), Slots: 8})
	}
	s.host = s.AddHost(node.New(node.Config{Self: self, Addr: addr, Secret: []byte("0123456789abcdef")}, now), self, addr)
	profile.Name, profile.Team, profile.Version = "holds", "bookings", 1
	profile.Normalise()
	s.Post(s.host, cornelwall.MachinesListed{VMs: s.vms})
	s.Post(s.host, cornelwall.WatchUpdate{Profiles: []cornelwall.Profile{profile}, All: true})
	s.Advance(2 * time.Second)
	return s
}

// submit submits a job and returns the request number.
func (s *site) submit(tasks int, need cornelwall.Need) uint64 {
	s.req++
	job := &cornelwall.Job{Profile: "holds"}
	for range tasks {
		job.Tasks = append(job.Tasks, cornelwall.Task{Need: need})
	}
	s.Post(s.host, cornelwall.Submit{Req: s.req, Job: job})
	s.Advance(0)
	return s.req
}

// done returns a work function for newSite: every task is done after the given time.
func done(took time.Duration) func(string) (time.Duration, cornelwall.Result) {
	return func(string) (time.Duration, cornelwall.Result) {
		return took, cornelwall.Result{Outcome: cornelwall.Done}
	}
}

// TestDrainNoticeOutlivesLaggingVMList reads a VM list that does not show yet that a
// machine is draining, after the machine itself has reported it. The list must not
// override the report: no further task may be sent to that machine.
func TestDrainNoticeOutlivesLaggingVMList(t *testing.T) {
	s := newSite(t, 2, cornelwall.Profile{}, func(name string) (time.Duration, cornelwall.Result) {
		return 10 * time.Millisecond, cornelwall.Result{Outcome: cornelwall.Done, Draining: name == "x0"}
	})
	s.submit(16, cornelwall.Need{})
	s.Advance(time.Second)
	before := s.ran["x0"]
	assert.Assert(t, before > 0)
	s.Post(s.host, cornelwall.MachinesListed{VMs: s.vms}) // the list does not show the drain yet
	s.submit(40, cornelwall.Need{})
	s.Advance(time.Second)
	assert.Equal(t, s.ran["x0"], before)
	assert.Equal(t, s.answers[2].Outcome, cornelwall.Done)
}

// TestTaskThatFitsNoMachineIsRefused submits a task that needs a core where there are only
// executors with slots. It must be refused at once instead of waiting in the queue.
func TestTaskThatFitsNoMachineIsRefused(t *testing.T) {
	s := newSite(t, 1, cornelwall.Profile{}, done(time.Millisecond))
	req := s.submit(1, cornelwall.Need{Cores: 1})
	assert.Equal(t, s.answers[req].Outcome, cornelwall.NotRun)
	assert.Equal(t, s.answers[req].Reason, cornelwall.ReasonNeverFits)
}

// TestJobPredictedLateIsRefused submits a job that, behind an earlier one, would probably
// miss its deadline. It must be refused with a time after which to retry. The earlier job
// must still be done.
func TestJobPredictedLateIsRefused(t *testing.T) {
	s := newSite(t, 1, cornelwall.Profile{Deadline: cornelwall.Duration(2 * time.Second)}, done(500*time.Millisecond))
	s.submit(8, cornelwall.Need{})
	s.Advance(time.Second)
	first, second := s.submit(14, cornelwall.Need{}), s.submit(40, cornelwall.Need{})
	a := s.answers[second]
	assert.Equal(t, a.Outcome, cornelwall.NotRun)
	assert.Equal(t, a.Reason, cornelwall.ReasonTooLate)
	assert.Assert(t, time.Duration(a.RetryAfter) > 100*time.Millisecond, "retry after %s", a.RetryAfter)
	s.Advance(2 * time.Second)
	assert.Equal(t, s.answers[first].Outcome, cornelwall.Done)
}

// TestQueueLimitPerProfile submits a task beyond the queue limit of its profile. It must be
// refused, and the tasks within the limit must still be done.
func TestQueueLimitPerProfile(t *testing.T) {
	s := newSite(t, 1, cornelwall.Profile{Queue: 10}, done(10*time.Millisecond))
	s.submit(8, cornelwall.Need{})
	ok, full := s.submit(10, cornelwall.Need{}), s.submit(1, cornelwall.Need{})
	assert.Equal(t, s.answers[full].Reason, cornelwall.ReasonQueueFull)
	s.Advance(time.Second)
	assert.Equal(t, s.answers[ok].Outcome, cornelwall.Done)
}

// TestConcurrencyLimit submits more tasks than the concurrency limit of a profile, at an
// entry with more free slots than that. Exactly as many as the limit must run at once.
func TestConcurrencyLimit(t *testing.T) {
	running, peak := 0, 0
	s := newSite(t, 2, cornelwall.Profile{Concurrency: 3}, done(10*time.Millisecond))
	s.StartTask = func(h *fake.Host, r cornelwall.RunTask) {
		running++
		peak = max(peak, running)
		s.CallAfter(10*time.Millisecond, func() { running-- })
		s.PostAfter(10*time.Millisecond, h, cornelwall.TaskEnded{Attempt: r.Start.Attempt, Result: cornelwall.Result{Outcome: cornelwall.Done}})
	}
	req := s.submit(20, cornelwall.Need{})
	s.Advance(time.Second)
	assert.Equal(t, s.answers[req].Outcome, cornelwall.Done)
	assert.Equal(t, peak, 3)
}

// TestFailingExecutorGetsFewTasks lets one of four executors fail every task, and faster
// than the others do theirs. That must not attract tasks to it.
func TestFailingExecutorGetsFewTasks(t *testing.T) {
	s := newSite(t, 4, cornelwall.Profile{}, func(name string) (time.Duration, cornelwall.Result) {
		if name == "x1" {
			return time.Millisecond, cornelwall.Result{Outcome: cornelwall.Failed, Reason: cornelwall.ReasonTask}
		}
		return 20 * time.Millisecond, cornelwall.Result{Outcome: cornelwall.Done}
	})
	for range 2000 {
		s.submit(1, cornelwall.Need{})
		s.Advance(5 * time.Millisecond)
	}
	s.Advance(time.Second)
	assert.Assert(t, s.ran["x1"] < 10, "%v", s.ran)
}

// TestDeadExecutorFailsNoJob lets one of two executors refuse all connections. Its tasks
// must be retried at the other one, and no start may be sent to it again before the pause
// after a failed connection is over.
func TestDeadExecutorFailsNoJob(t *testing.T) {
	s := newSite(t, 2, cornelwall.Profile{}, func(name string) (time.Duration, cornelwall.Result) {
		if name == "x1" {
			return 50 * time.Millisecond, cornelwall.Result{Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonConnect}
		}
		return 10 * time.Millisecond, cornelwall.Result{Outcome: cornelwall.Done}
	})
	req := s.submit(40, cornelwall.Need{})
	s.Advance(900 * time.Millisecond)
	assert.Equal(t, s.answers[req].Outcome, cornelwall.Done)
	assert.Equal(t, s.ran["x1"], 8, "a dead machine was retried before the end of its pause")
}

// BenchmarkJob runs one job from submission to answer.
func BenchmarkJob(b *testing.B) {
	for _, executors := range []int{60, 120, 240} {
		for _, tasks := range []int{1, 100, 770} {
			b.Run(fmt.Sprintf("executors=%d/tasks=%d", executors, tasks), func(b *testing.B) {
				s := newSite(b, executors, cornelwall.Profile{}, done(10*time.Millisecond))
				for b.Loop() {
					s.submit(tasks, cornelwall.Need{})
					s.Advance(10 * time.Millisecond)
					clear(s.answers)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/task")
			})
		}
	}
}

// BenchmarkHeartbeat measures the periodic work of an entry, by number of executors.
func BenchmarkHeartbeat(b *testing.B) {
	for _, executors := range []int{60, 120, 240} {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			s := newSite(b, executors, cornelwall.Profile{}, done(time.Millisecond))
			for b.Loop() {
				s.Advance(500 * time.Millisecond)
			}
		})
	}
}

// TestBusyMachineIsRetriedSoon refuses the first start. The task must be retried when the
// pause of the only machine ends, not at the next heartbeat.
func TestBusyMachineIsRetriedSoon(t *testing.T) {
	refused := false
	s := newSite(t, 1, cornelwall.Profile{}, func(string) (time.Duration, cornelwall.Result) {
		if !refused {
			refused = true
			return time.Millisecond, cornelwall.Result{Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonBusy}
		}
		return time.Millisecond, cornelwall.Result{Outcome: cornelwall.Done}
	})
	s.Advance(10 * time.Millisecond) // so that no heartbeat is due
	req := s.submit(1, cornelwall.Need{})
	s.Advance(20 * time.Millisecond)
	assert.Equal(t, s.answers[req].Outcome, cornelwall.Done)
}
