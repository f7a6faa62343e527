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
	if n.stopping {
		return
	}
	n.stopping = true
	if left > 0 {
		n.handoff.jobsDeadline = n.now.Add(left)
		n.wakeBy(n.handoff.jobsDeadline)
	}
	n.log("stopping", "jobs", n.jobs.Len(), "running", len(n.attempts))
	for _, p := range n.members.Neighbours() {
		p.HeartbeatSentAt = time.Time{} // so that all learn of it at once
	}
	n.nextHeartbeat = n.now
	n.heartbeatTick()
}

// advanceStop hands the outcomes to heirs once none of this incarnation's own jobs is
// in flight. Requests that wait for other owners go on meanwhile; the stop is complete
// when they have been answered too, unless new ones never cease to come.
func (n *Node) advanceStop() {
	h := &n.handoff
	if !n.stopping || h.done {
		return
	}
	if h.closedAt.IsZero() {
		if !h.jobsDeadline.IsZero() && !n.now.Before(h.jobsDeadline) {
			n.endOpenJobs()
		} else if n.hasOpenJobs() {
			return
		}
		n.closeTables()
	}
	if h.handedOffAt.IsZero() {
		n.chooseSuccessors()
		for _, t := range h.transfers {
			n.sendParts(t)
		}
		n.checkHandoff()
	}
	if !h.handedOffAt.IsZero() && (len(n.forwards) == 0 || n.now.Sub(h.handedOffAt) >= forwardGrace) {
		h.done = true
		n.log("stopped")
		n.emit(cornelwall.Stopped{})
	}
}

// hasOpenJobs reports whether a job of this incarnation is open. A task of a job that has ended
// may still run, but changes nothing.
func (n *Node) hasOpenJobs() bool {
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

// endOpenJobs ends the open jobs without an answer, each with what is known of its tasks, so
// that the heirs can tell it.
func (n *Node) endOpenJobs() {
	var open []*owner.Job
	n.jobs.All(func(j *owner.Job) {
		if !j.Ended() {
			open = append(open, j)
		}
	})
	slices.SortFunc(open, func(a, b *owner.Job) int { return cmp.Compare(a.Ticket.Seq, b.Ticket.Seq) })
	for _, j := range open {
		n.countReason(cornelwall.ReasonStopping, false)
		j.Abort(cornelwall.ReasonStopping, 0, "the entry had to stop before the job ended; the outcome of each task tells what ran")
		n.settleJob(j)
	}
	n.log("stop-limit", "jobs", len(open), "remedy", "raise --stop-timeout above the longest deadline")
}
