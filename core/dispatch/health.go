package dispatch

import "cornelwall/core/policy"

// runSlowdown returns how much longer than estimated a run takes, at least.
func (c *Core) runSlowdown(r *run) float64 {
	return policy.RunSlowdown(r.expectedTime(c.now), r.Estimate, c.usualSlowdown)
}

// slowdown returns the slowdown of an endpoint.
func (c *Core) slowdown(l *lease) float64 {
	if c.cfg.PlaceBySpeed {
		return c.slowdownBySpeed(l)
	}
	var running []float64
	for _, r := range l.runs {
		if r.state == runRunning {
			running = append(running, c.runSlowdown(r))
		}
	}
	return policy.EndpointSlowdown(l.ep.health.Slowdown(), running)
}

// isSlow reports whether an endpoint is slow.
func (c *Core) isSlow(l *lease) bool { return policy.IsSlow(c.slowdown(l), c.usualSlowdown) }

// updateUsualSlowdown determines the slowdown that is usual at the endpoints of this entry and of its
// peers. Those in evacuated data centres do not count: if all others are slower, these are to be used nevertheless.
func (c *Core) updateUsualSlowdown() {
	var own, all []float64
	for _, ep := range c.held() {
		if slowdown := ep.health.Slowdown(); slowdown > 0 && !c.isEvacuated(ep.DataCentre) {
			own = append(own, slowdown)
		}
	}
	c.medianSlowdown = policy.Median(own)
	if c.medianSlowdown > 0 {
		all = append(all, c.medianSlowdown)
	}
	for _, p := range c.links {
		if p.slowdown > 0 && c.isResponsive(p) {
			all = append(all, p.slowdown)
		}
	}
	c.usualSlowdown = policy.UsualSlowdown(all)
}

// stopStragglers stops the runs on a slow endpoint that should be started again elsewhere.
func (c *Core) stopStragglers(l *lease) {
	slowdown := c.slowdown(l)
	if !policy.IsSlow(slowdown, c.usualSlowdown) || l.phase != phaseReady {
		return
	}
	for _, r := range filterRuns(l.runs, func(r *run) bool { return r.state == runRunning && !r.StoppedAsStraggler }) {
		s := policy.Straggler{
			Took: c.now.Sub(r.startedAt), Expected: r.expectedTime(c.now), Estimate: r.Estimate,
			Endpoint: slowdown, Usual: c.usualSlowdown, LongTask: r.longTask && r.progress.IsOnCourse(c.now),
		}
		if s.ShouldRestart() {
			c.log("straggler-stopped", "task", r.id.Task, "run", r.id.Run, "endpoint", l.ep.ID, "took", s.Took, "estimate", r.Estimate, "expected", s.Expected, "pace", slowdown)
			l.ep.health.RecordSlowdown(c.now, c.runSlowdown(r))
			c.stopRun(r)
		}
	}
}
