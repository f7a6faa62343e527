package node

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/owner"
)

// stop begins a planned stop: no new jobs, and the machines go to other homes.
func (n *Node) stop(left time.Duration) {
	if n.leaving {
		return
	}
	n.leaving = true
	if left > 0 {
		n.handover.limit = n.now.Add(left)
		n.wake(n.handover.limit)
	}
	n.log("stopping", "jobs", n.jobs.Len(), "running", len(n.attempts))
	for _, p := range n.members.Near() {
		p.Beaten = time.Time{} // so that all learn of it at once
	}
	n.nextBeat = n.now
	n.beat()
}

// advanceStop hands the outcomes to heirs once none of this incarnation's own jobs is
// in flight. Requests that wait for other owners go on meanwhile; the stop is complete
// when they have been answered too, unless new ones never cease to come.
func (n *Node) advanceStop() {
	h := &n.handover
	if !n.leaving || h.done {
		return
	}
	if h.closed.IsZero() {
		if !h.limit.IsZero() && !n.now.Before(h.limit) {
			n.endJobs()
		} else if n.busy() {
			return
		}
		n.closeTables()
	}
	if h.handed.IsZero() {
		n.chooseHeirs()
		for _, t := range h.heirs {
			n.feed(t)
		}
		n.endHandover()
	}
	if !h.handed.IsZero() && (len(n.forwards) == 0 || n.now.Sub(h.handed) >= forwardWait) {
		h.done = true
		n.log("stopped")
		n.emit(cornelwall.Stopped{})
	}
}

// busy reports whether a job of this incarnation is open. A task of a job that has ended
// may still run, but changes nothing.
func (n *Node) busy() bool {
	if n.queue.Len() > 0 || n.claims.Len() > 0 {
		return true
	}
	for _, a := range n.attempts {
		if !a.job.Ended() {
			return true
		}
	}
	return false
}

// endJobs ends the open jobs without an answer, each with what is known of its tasks, so
// that the heirs can tell it.
func (n *Node) endJobs() {
	var open []*owner.Job
	n.jobs.All(func(j *owner.Job) {
		if !j.Ended() {
			open = append(open, j)
		}
	})
	slices.SortFunc(open, func(a, b *owner.Job) int { return cmp.Compare(a.Ticket.Seq, b.Ticket.Seq) })
	for _, j := range open {
		n.count(cornelwall.ReasonStopping, false)
		j.Finish(cornelwall.ReasonStopping, 0, "the entry had to stop before the job ended; the outcome of each task tells what ran")
		n.settle(j)
	}
	n.log("stop-limit", "jobs", len(open), "remedy", "raise --stop-timeout above the longest deadline")
}
