package measure

import (
	"time"

	"cornelwall"
	"cornelwall/standin/fake"
)

const (
	failDelay      = 5 * time.Millisecond // until the failing executor fails a task
	connectTimeout = time.Second          // of a connection to an executor that cannot be reached
	slowFactor     = 4                    // on the task times at the slow executor
)

// executor is a fake executor that refuses tasks while all its slots are taken.
type executor struct {
	vm        cornelwall.VM
	usedSlots int
	failing   bool
	dead      bool
	slow      bool
	tasksRun  int // so far
}

// startTask simulates a start: the request takes the one-way delay, a free slot runs the task
// or the start is refused, and the answer takes the delay again.
func (r *run) startTask(h *fake.Host, cmd cornelwall.RunTask) {
	r.starts++
	r.loans.recordStart(h.Self, cmd.VM.Name)
	x := r.executors[cmd.VM.Name]
	delay := r.site.delay(h.Self.DataCentre, x.vm.DataCentre)
	end := func(after time.Duration, res cornelwall.Result) {
		res.Took = r.world.Now.Add(after).Sub(r.startTimes[startKey{h, cmd.Start.Attempt}])
		delete(r.startTimes, startKey{h, cmd.Start.Attempt})
		r.world.CallAfter(after, func() { r.loans.recordEnd(h.Self, cmd.VM.Name) })
		r.world.PostAfter(after, h, cornelwall.TaskEnded{Attempt: cmd.Start.Attempt, Result: res})
	}
	r.startTimes[startKey{h, cmd.Start.Attempt}] = r.world.Now
	if x.dead {
		r.loans.RefusedStarts++
		end(connectTimeout, cornelwall.Result{Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonConnect})
		return
	}
	if r.unreachable(h.Self.DataCentre, x.vm.DataCentre) {
		r.loans.RefusedStarts++
		end(connectTimeout, cornelwall.Result{Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonConnect})
		return
	}
	r.world.CallAfter(delay, func() {
		if x.usedSlots >= x.vm.Slots {
			r.loans.RefusedStarts++
			end(delay, cornelwall.Result{Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonBusy})
			return
		}
		r.runTask(x, cmd, func(res cornelwall.Result) { end(delay, res) })
	})
}

// startKey identifies a start attempt.
type startKey struct {
	host    *fake.Host
	attempt uint64
}

// runTask runs a task in a slot.
func (r *run) runTask(x *executor, cmd cornelwall.RunTask, end func(cornelwall.Result)) {
	x.usedSlots++
	x.tasksRun++
	job := r.jobsByTicket[cmd.Start.Ticket]
	if job.started[cmd.Start.Index] {
		r.startedTwice++
	}
	job.started[cmd.Start.Index] = true
	took := job.TaskTimes[cmd.Start.Index]
	res := cornelwall.Result{Outcome: cornelwall.Done}
	if x.failing {
		took = failDelay
		r.ranOnFailing++
		res = cornelwall.Result{Outcome: cornelwall.Failed, Reason: cornelwall.ReasonTask}
	}
	if x.slow {
		took *= slowFactor
	}
	begin := r.world.Now.Sub(r.start)
	r.world.CallAfter(took, func() {
		x.usedSlots--
		job.workInWindow += max(0, min(begin+took, arrivalPeriod)-max(begin, warmUp))
		end(res)
	})
}
