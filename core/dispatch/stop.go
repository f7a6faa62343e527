package dispatch

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
)

const stopGraceMargin = 1200 * time.Millisecond // before the end of StopGrace, when open jobs are given up

// isStopping reports whether a planned stop has begun.
func (c *Core) isStopping() bool { return !c.stoppingSince.IsZero() }

// handleStop begins a planned stop: endpoints are handed over to other entries together with their
// runs, waiting runs go back to their owners, and this entry's own jobs continue.
func (c *Core) handleStop() {
	if c.isStopping() {
		return
	}
	c.stoppingSince = c.now
	c.log("stopping", "jobs", len(c.jobs), "runs", len(c.runs))
	c.emit(cornelwall.Deregister{})
	c.checkReady()
	c.returnBacklog()
	c.sendHeartbeats(c.peersByID...)
	c.updateRanking()
	for _, ep := range slices.Clone(c.held()) {
		c.offerHandover(ep)
	}
}

// checkStop ends a planned stop once this entry has no jobs left and no runs that another entry
// could take over. Shortly before the end of the grace period it gives up the remaining jobs
// instead.
func (c *Core) checkStop() {
	if !c.isStopping() || c.stopped {
		return
	}
	if c.now.Sub(c.stoppingSince) > c.cfg.Limits.StopGrace-stopGraceMargin {
		for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
			c.finishJob(c.jobs[id], cornelwall.BatchAnswer{End: cornelwall.BatchGivenUp, Reason: cornelwall.ReasonStopping, Text: "the entry stops; send it again"})
		}
		c.refuseCancellers("stopping")
	} else if len(c.jobs) > 0 || len(c.runs) > 0 && len(c.peers) > 0 || c.hasUnansweredCancel() {
		return
	}
	c.stopped = true
	c.log("stopped", "jobs", len(c.jobs), "runs", len(c.runs))
	c.emit(cornelwall.Stopped{})
}

// checkReady reports to the load balancer whether to send callers to this entry.
func (c *Core) checkReady() {
	ready := c.queueConfig.Version != 0 && !c.isStopping() && !c.catchUpOverdue() && c.hasCapacity()
	if ready != c.ready {
		c.ready = ready
		c.log("ready", "ready", ready, "version", c.queueConfig.Version, "endpoints", len(c.endpoints))
		c.emit(cornelwall.SetReady{Ready: ready})
	}
}

// hasCapacity reports whether this entry holds a reachable endpoint outside the evacuated data centres, or a
// peer that can be assigned tasks has capacity. An entry of an evacuated data centre serves callers with the capacity of
// the others.
func (c *Core) hasCapacity() bool {
	for _, ep := range c.held() {
		if ep.lease.phase != phaseUnreachable && !c.isEvacuated(ep.DataCentre) {
			return true
		}
	}
	if c.isEvacuated(c.cfg.Self.DataCentre) && c.hasOpenCentre() {
		return true // capacity there is found when a batch needs it
	}
	for _, p := range c.peersByID {
		if c.canAssign(p) && !c.mayStartInEvacuated(p) && p.view.Capacity.Total > 0 {
			return true
		}
	}
	return false
}
