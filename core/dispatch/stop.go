package dispatch

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
)

const stopMargin = 1200 * time.Millisecond // before the end of the grace, when what is open is given up

// leaving reports whether a planned stop has begun.
func (c *Core) leaving() bool { return !c.stopping.IsZero() }

// stop begins a planned stop: endpoints go to other holders with what runs there, and the
// jobs of this entry's callers run on to their end.
func (c *Core) stop() {
	if c.leaving() {
		return
	}
	c.stopping = c.now
	c.log("stopping", "jobs", len(c.jobs), "runs", len(c.runs))
	c.emit(cornelwall.Deregister{})
	c.checkReady()
	c.returnWaiting()
	c.pulseTo(c.byID...)
	c.rankMembers()
	for _, ep := range slices.Clone(c.held()) {
		c.handOn(ep)
	}
}

// checkStop reports the end of a planned stop. After it, nothing is left that another
// entry or a caller waits for.
func (c *Core) checkStop() {
	if !c.leaving() || c.stopped {
		return
	}
	if c.now.Sub(c.stopping) > c.cfg.Limits.Grace-stopMargin {
		for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
			c.finish(c.jobs[id], cornelwall.BatchAnswer{End: cornelwall.BatchGivenUp, Reason: cornelwall.ReasonStopping, Text: "the entry stops; send it again"})
		}
	} else if len(c.jobs) > 0 || len(c.runs) > 0 && len(c.peers) > 0 {
		return
	}
	c.stopped = true
	c.log("stopped", "jobs", len(c.jobs), "runs", len(c.runs))
	c.emit(cornelwall.Stopped{})
}

// checkReady tells the balancer whether this entry should get callers.
func (c *Core) checkReady() {
	ready := c.declared.Version != 0 && !c.leaving() && c.hasRoom()
	if ready != c.ready {
		c.ready = ready
		c.log("ready", "ready", ready, "version", c.declared.Version, "endpoints", len(c.endpoints))
		c.emit(cornelwall.SetReady{Ready: ready})
	}
}

// hasRoom reports whether any holder that answers has endpoints.
func (c *Core) hasRoom() bool {
	for _, ep := range c.held() {
		if ep.lease.phase != phaseLost {
			return true
		}
	}
	for _, p := range c.byID {
		if c.linked(p) && p.view.vacancy.Total > 0 {
			return true
		}
	}
	return false
}
