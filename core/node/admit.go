package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/owner"
	"cornelwall/core/queue"
)

// item returns task i of a job as the queue holds it.
func (n *Node) item(j *owner.Job, i int, p *cornelwall.Profile) queue.Item {
	return queue.Item{
		Job: j.Ticket.Seq, Task: i, Need: j.Spec[i].Need,
		Class: p.Class, Team: p.Team, Weight: p.Quota, Since: j.Since,
	}
}

// admit decides whether a new job may wait here. The ticket's team must be the
// profile's.
func (n *Node) admit(job *cornelwall.Job) (cornelwall.Profile, cornelwall.Reason, time.Duration) {
	p, ok := n.catalog.Get(job.Profile)
	switch {
	case !ok:
		return p, cornelwall.ReasonNoProfile, backLater
	case p.Team != job.Ticket.Team:
		return p, cornelwall.ReasonTicket, 0
	case n.leaving:
		return p, cornelwall.ReasonStopping, backSoon
	case p.Stale == cornelwall.Refuse && n.stale():
		return p, cornelwall.ReasonStale, backLater
	case n.jobs.Len() >= n.cfg.MaxJobs:
		return p, cornelwall.ReasonOverload, backSoon
	case n.queue.Len()+len(job.Tasks) > p.Queue:
		return p, cornelwall.ReasonQueueFull, backSoon
	}
	for i := range job.Tasks {
		if !n.fitsAnywhere(job.Tasks[i].Need) {
			return p, cornelwall.ReasonNeverFits, 0
		}
	}
	return p, cornelwall.ReasonNone, 0
}

// fitsAnywhere reports whether a machine of the VM list, free or not, is large enough.
// Before the first list any need might fit.
func (n *Node) fitsAnywhere(need cornelwall.Need) bool {
	if len(n.machines) == 0 {
		return true
	}
	for _, vm := range n.machines {
		if vm.Kind == need.Kind() && (vm.Kind == cornelwall.Executor || need.Fits(vm.Room)) {
			return true
		}
	}
	return false
}
