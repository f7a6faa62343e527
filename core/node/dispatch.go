package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/owner"
	"cornelwall/core/queue"
)

const (
	maxRetries    = 50 // starts of one task that did not happen
	minTaskSample = 3  // tasks of a job done before they tell what to expect of the others
)

// attempt is one start of one task.
type attempt struct {
	job   *owner.Job
	index int
	place cornelwall.Place
}

// progress is what was predicted of a job, and what its tasks that are done have
// taken.
type progress struct {
	tasks         int // of the job
	predictedWait time.Duration
	predictedRun  time.Duration
	done          int
	totalRunTime  time.Duration
	nextUpdate    int // number of tasks done at which the queue hears of it again
}

// placerHost shows the waiting tasks of the node to its placer.
type placerHost struct{ *Node }

// Needs implements [cornelwall.Demand].
func (d placerHost) Needs() []cornelwall.Need { return d.queue.Needs() }

// Waiting implements [cornelwall.Demand].
func (d placerHost) Waiting(need cornelwall.Need) int { return d.queue.Waiting(need) }

// Head implements [cornelwall.Demand].
func (d placerHost) Head(need cornelwall.Need) (cornelwall.Class, time.Time) {
	class, rank, ok := d.queue.Head(need)
	if !ok {
		return cornelwall.Batch, d.now
	}
	return class, rank
}

// ExpectedRunTime implements [cornelwall.Demand].
func (d placerHost) ExpectedRunTime() time.Duration { return d.estimates.Overall() }

// Peers implements [cornelwall.Demand].
func (d placerHost) Peers() []cornelwall.PeerCapacity {
	alive := d.members.Alive(d.now)
	peers := make([]cornelwall.PeerCapacity, 0, len(alive))
	for _, p := range alive {
		peers = append(peers, cornelwall.PeerCapacity{ID: p.Incarnation, Capacity: p.Capacity, At: p.CapacityAt, Leaving: p.Leaving})
	}
	return peers
}

// Send implements [cornelwall.Demand].
func (d placerHost) Send(to cornelwall.Incarnation, m cornelwall.Message) { d.send(to, m) }

// StartNext implements [cornelwall.Demand]: it starts the next waiting task of the need on
// the place.
func (d placerHost) StartNext(place cornelwall.Place) bool {
	n := d.Node
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

// startTask starts a task.
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

// taskEnded takes the result of a start.
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

// startReport tells what a result says of the machine.
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

// recordResult takes the result of a task that ran, or may have.
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

// observeRunTime notes how long a task of a job took, and now and then tells the queue what
// to expect of its other tasks.
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

// retryTask queues a task again whose start provably did not happen. Another machine gets
// it at once, as the place has gone back to its home.
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
	l := n.newGroup(a.job, &p, a.job.Spec[a.index].Need)
	l.Tasks = []int{a.index}
	n.queue.Push(l)
}

// newGroup returns the lot of one need of a job, without tasks.
func (n *Node) newGroup(j *owner.Job, p *cornelwall.Profile, need cornelwall.Need) queue.Group {
	return queue.Group{
		Job: j.Ticket.Seq, Need: need, Class: p.Class, Team: p.Team, Profile: j.Profile, Limit: p.Concurrency,
		Weight: p.Quota, Submitted: j.Accepted, RunTime: n.estimates.Task(j.Profile, meanEstimate(j.Spec)),
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
