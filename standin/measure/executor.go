package measure

import (
	"time"

	"cornelwall"
	"cornelwall/standin/fake"
)

const (
	failAfter   = 5 * time.Millisecond // of an executor that fails everything
	connectWait = time.Second          // before a connection to a dead executor is given up
	slowFactor  = 4                    // of a slow executor
)

// executor is a fake executor: so many slots, and a refusal when they are taken.
type executor struct {
	vm      cornelwall.VM
	used    int
	failing bool
	dead    bool
	slow    bool
	served  int // tasks that ran
}

// begin carries out a start: the request travels, a slot is taken or the start is
// refused, and the answer travels back.
func (r *run) begin(h *fake.Host, cmd cornelwall.RunTask) {
	r.starts++
	r.ledger.began(h.Self, cmd.VM.Name)
	x := r.executors[cmd.VM.Name]
	delay := r.site.delay(h.Self.DataCentre, x.vm.DataCentre)
	end := func(after time.Duration, res cornelwall.Result) {
		res.Took = r.world.Now.Add(after).Sub(r.began[startKey{h, cmd.Start.Attempt}])
		delete(r.began, startKey{h, cmd.Start.Attempt})
		r.world.Do(after, func() { r.ledger.ended(h.Self, cmd.VM.Name) })
		r.world.After(after, h, cornelwall.TaskEnded{Attempt: cmd.Start.Attempt, Result: res})
	}
	r.began[startKey{h, cmd.Start.Attempt}] = r.world.Now
	if x.dead {
		r.ledger.Refused++
		end(connectWait, cornelwall.Result{Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonConnect})
		return
	}
	if r.cut(h.Self.DataCentre, x.vm.DataCentre) {
		r.ledger.Refused++
		end(connectWait, cornelwall.Result{Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonConnect})
		return
	}
	r.world.Do(delay, func() {
		if x.used >= x.vm.Slots {
			r.ledger.Refused++
			end(delay, cornelwall.Result{Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonBusy})
			return
		}
		r.serve(x, cmd, func(res cornelwall.Result) { end(delay, res) })
	})
}

// startKey identifies a start.
type startKey struct {
	host    *fake.Host
	attempt uint64
}

// serve runs a task in a slot.
func (r *run) serve(x *executor, cmd cornelwall.RunTask, end func(cornelwall.Result)) {
	x.used++
	x.served++
	job := r.byTicket[cmd.Start.Ticket]
	if job.started[cmd.Start.Index] {
		r.doubled++
	}
	job.started[cmd.Start.Index] = true
	took := job.Tasks[cmd.Start.Index]
	res := cornelwall.Result{Outcome: cornelwall.Done}
	if x.failing {
		took = failAfter
		r.eaten++
		res = cornelwall.Result{Outcome: cornelwall.Failed, Reason: cornelwall.ReasonTask}
	}
	if x.slow {
		took *= slowFactor
	}
	begin := r.world.Now.Sub(r.start)
	r.world.Do(took, func() {
		x.used--
		job.served += max(0, min(begin+took, arriving)-max(begin, warmUp))
		end(res)
	})
}
