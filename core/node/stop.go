package node

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/owner"
)

// stop begins a planned stop: no new jobs are admitted, and ownership of the machines
// moves to other entries.
func (n *Node) stop(timeLeft time.Duration) {
	if n.stopping {
		return
	}
	n.stopping = true
	if timeLeft > 0 {
		n.handoff.jobsDeadline = n.now.Add(timeLeft)
		n.wakeBy(n.handoff.jobsDeadline)
	}
	n.log("stopping", "jobs", n.jobs.Len(), "running", len(n.attempts))
	for _, p := range n.members.Neighbours() {
		p.HeartbeatSentAt = time.Time{} // so that all peers learn of the stop at once
	}
	n.nextHeartbeat = n.now
	n.heartbeatTick()
}

// advanceStop hands off the outcomes to successors once no job of this incarnation is
// open or jobsDeadline has passed. Forwarded requests continue meanwhile; the stop is
// complete once they are answered or forwardGrace has passed, as callers may keep sending
// new ones.
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

// hasOpenJobs reports whether a job of this incarnation is open or may still be accepted.
// A task of a job that has ended may still run, but no longer counts.
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

// endOpenJobs ends the open jobs without a result. Each answer says what is known of the
// tasks, so that the successors can give it.
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
