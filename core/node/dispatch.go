package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/owner"
	"cornelwall/core/queue"
)

const (
	maxRetries    = 50 // retries of one task whose starts provably did not happen
	minTaskSample = 3  // done tasks of a job from which the run time of its other tasks is estimated
)

// attempt is one start of one task.
type attempt struct {
	job   *owner.Job
	index int
	place cornelwall.Place
}

// progress holds what was predicted for a job, and the run times of its tasks so far.
type progress struct {
	tasks         int // number of tasks in the job
	predictedWait time.Duration
	predictedRun  time.Duration
	done          int
	totalRunTime  time.Duration
	nextUpdate    int // number of done tasks at which the estimates are next updated
}

// placerHost implements [cornelwall.PlacerHost]: it gives the placer access to the
// waiting tasks.
type placerHost struct{ *Node }

// Needs implements [cornelwall.PlacerHost].
func (h placerHost) Needs() []cornelwall.Need { return h.queue.Needs() }

// Waiting implements [cornelwall.PlacerHost].
func (h placerHost) Waiting(need cornelwall.Need) int { return h.queue.Waiting(need) }

// Head implements [cornelwall.PlacerHost].
func (h placerHost) Head(need cornelwall.Need) (cornelwall.Class, time.Time) {
	class, rank, ok := h.queue.Head(need)
	if !ok {
		return cornelwall.Batch, h.now
	}
	return class, rank
}

// ExpectedRunTime implements [cornelwall.PlacerHost].
func (h placerHost) ExpectedRunTime() time.Duration { return h.estimates.Overall() }

// Peers implements [cornelwall.PlacerHost].
func (h placerHost) Peers() []cornelwall.PeerCapacity {
	alive := h.members.Alive(h.now)
	peers := make([]cornelwall.PeerCapacity, 0, len(alive))
	for _, p := range alive {
		peers = append(peers, cornelwall.PeerCapacity{ID: p.Incarnation, Capacity: p.Capacity, At: p.CapacityAt, Leaving: p.Leaving})
	}
	return peers
}

// Send implements [cornelwall.PlacerHost].
func (h placerHost) Send(to cornelwall.Incarnation, m cornelwall.Message) { h.send(to, m) }

// StartNext implements [cornelwall.PlacerHost]: it starts the next waiting task with the
// need of the place there.
func (h placerHost) StartNext(place cornelwall.Place) bool {
	n := h.Node
	vm, ok := n.machines[place.Machine]
	if !ok || vm.State != cornelwall.Live {
		return false
	}
	for {
		seq, index, ok := n.queue.Pop(place.Need)
		if !ok {
			return false
		}
		j := n.jobs.Get(seq)
		if j == nil {
			continue
		}
		if n.tooLate(j) {
			n.queue.Release(j.Profile)
			n.endJob(j, cornelwall.ReasonTooLate, shortRetryAfter)
			continue
		}
		if !j.Start(index) {
			n.queue.Release(j.Profile)
			continue
		}
		n.startTask(vm, place, j, index)
		return true
	}
}

// startTask starts a task on the machine.
func (n *Node) startTask(vm cornelwall.VM, place cornelwall.Place, j *owner.Job, index int) {
	id := n.newID()
	n.attempts[id] = &attempt{job: j, index: index, place: place}
	if place.Need.Kind() == cornelwall.Worker {
		n.workerAttempts[j.Ticket.Seq] = append(n.workerAttempts[j.Ticket.Seq], id)
	}
	n.emit(cornelwall.RunTask{VM: vm, Start: cornelwall.Start{
		Attempt: id, Ticket: j.Ticket, Index: index,
		Body: j.Spec[index].Body, Need: place.Need, TimeLeft: j.Deadline.Sub(n.now),
	}})
}

// taskEnded handles the result of a start.
func (n *Node) taskEnded(ev cornelwall.TaskEnded) {
	a := n.attempts[ev.Attempt]
	if a == nil {
		return
	}
	delete(n.attempts, ev.Attempt)
	n.queue.Release(a.job.Profile)
	r := ev.Result
	n.placer.Release(n.now, a.place, n.startReport(a, r))
	if r.Draining {
		n.noteDraining(a.place.Machine)
	}
	if r.Outcome == cornelwall.NotRun {
		n.retryTask(a, r)
	} else {
		n.recordResult(a, r)
	}
	if a.job.Running() == 0 {
		n.faults.Forget(a.job.Ticket.Seq)
		delete(n.workerAttempts, a.job.Ticket.Seq)
	}
}

// startReport returns what the placer needs to know of a start: whether the task ran, how
// slow the machine is, and whether it is at fault.
func (n *Node) startReport(a *attempt, r cornelwall.Result) cornelwall.StartReport {
	rep := cornelwall.StartReport{Started: r.Outcome != cornelwall.NotRun, Reason: r.Reason, Draining: r.Draining}
	seq := a.job.Ticket.Seq
	switch r.Outcome {
	case cornelwall.Done:
		rep.Reason = cornelwall.ReasonNone
		if p := n.progress[seq]; p != nil && p.done >= minTaskSample {
			rep.SlowdownPercent = int(100 * r.Took * time.Duration(p.done) / max(1, p.totalRunTime))
		}
	case cornelwall.Failed, cornelwall.Unknown:
		rep.MachineFault = r.Reason != cornelwall.ReasonDeadline && n.faults.IsMachineFault(seq, a.place.Machine)
	}
	return rep
}

// recordResult records the result of a task that ran or may have run.
func (n *Node) recordResult(a *attempt, r cornelwall.Result) {
	n.budget.Started()
	if r.Outcome == cornelwall.Done {
		n.estimates.Observe(a.job.Profile, r.Took)
		defer n.observeRunTime(a.job, r.Took)
	} else {
		n.countReason(r.Reason, false)
	}
	if a.job.End(a.index, r) {
		n.settleJob(a.job)
	}
}

// observeRunTime records the run time of a done task. Each time that the number of done
// tasks has doubled, it updates the expected run time of the remaining ones and ends the
// job if it can no longer meet its deadline.
func (n *Node) observeRunTime(j *owner.Job, took time.Duration) {
	if j.Ended() {
		return
	}
	seq := j.Ticket.Seq
	p := n.progress[seq]
	if p == nil {
		return
	}
	p.done++
	p.totalRunTime += took
	if p.done == p.nextUpdate {
		p.nextUpdate *= 2
		n.queue.SetRunTime(seq, p.totalRunTime/time.Duration(p.done))
		n.endIfTooLate(j)
	}
}

// retryTask queues a task again whose start provably did not happen. It can start on
// another machine at once, as its place has been released before.
func (n *Node) retryTask(a *attempt, r cornelwall.Result) {
	n.countReason(r.Reason, true)
	if a.job.UndoStart(a.index) {
		n.jobs.Compact(a.job)
	}
	if a.job.Ended() {
		return
	}
	if a.job.Tasks[a.index].Retries > maxRetries || !n.budget.Take() {
		n.endJob(a.job, cornelwall.ReasonRetries, longRetryAfter)
		return
	}
	p, _ := n.catalog.Latest(a.job.Profile)
	g := n.newGroup(a.job, &p, a.job.Spec[a.index].Need)
	g.Tasks = []int{a.index}
	n.queue.Push(g)
}

// newGroup returns the queue group for one need of a job, without tasks.
func (n *Node) newGroup(j *owner.Job, p *cornelwall.Profile, need cornelwall.Need) queue.Group {
	return queue.Group{
		Job: j.Ticket.Seq, Need: need, Class: p.Class, Team: p.Team, Profile: j.Profile, Limit: p.Concurrency,
		Weight: p.Quota, Submitted: j.Accepted, RunTime: n.estimates.RunTime(j.Profile, meanEstimate(j.Spec)),
	}
}

// abandonTasks asks workers to stop the running tasks of a job that has ended.
func (n *Node) abandonTasks(j *owner.Job) {
	for _, id := range n.workerAttempts[j.Ticket.Seq] {
		if n.attempts[id] != nil {
			n.emit(cornelwall.AbandonTask{Attempt: id})
		}
	}
	delete(n.workerAttempts, j.Ticket.Seq)
}
