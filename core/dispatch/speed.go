package dispatch

import (
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/policy"
)

// speedCounts counts decisions of placement by speed since the last log line.
type speedCounts struct {
	longTasks int // runs that were found to be long tasks
	awaited   int // times that a run waited for a faster endpoint
}

// endedSlowdown returns the run time / estimate by which a run that has ended counts for the health of its
// endpoint.
func (c *Core) endedSlowdown(r *run, end cornelwall.RunEnd, took time.Duration) float64 {
	slowdown := policy.SlowdownOf(took, r.Estimate)
	if !c.cfg.PlaceBySpeed || end != cornelwall.RunDone {
		return slowdown
	}
	health := &r.lease.ep.health
	if !health.IsLong(c.now, slowdown, c.usualSlowdown) && health.Speed().IsKnown(c.now) {
		c.findLongTasks(r)
	}
	return health.RecordSpeed(c.now, slowdown, c.usualSlowdown, r.longTask)
}

// findLongTasks marks as long tasks the long runs beside a run that started later and took no longer than usual, which
// shows that the endpoint is not slow.
func (c *Core) findLongTasks(ended *run) {
	for _, r := range ended.lease.runs {
		if r.state == runRunning && !r.longTask && !r.startedAt.After(ended.startedAt) && c.mayBeLongTask(r, c.runSlowdown(r)) {
			r.longTask = true
			c.speedCounts.longTasks++
		}
	}
}

// mayBeLongTask reports whether a run may be a long task: it takes long, and its endpoint reports progress of it.
func (c *Core) mayBeLongTask(r *run, slowdown float64) bool {
	return r.lease.ep.health.IsLongTask(c.now, slowdown, c.usualSlowdown) && r.progress.IsOnCourse(c.now)
}

// slowdownBySpeed returns the slowdown of the endpoint of a lease, leaving out long tasks.
func (c *Core) slowdownBySpeed(l *lease) float64 {
	var running, long []float64
	for _, r := range l.runs {
		if r.state != runRunning {
			continue
		}
		slowdown := c.runSlowdown(r)
		switch {
		case !c.mayBeLongTask(r, slowdown):
			running = append(running, slowdown)
		case !r.longTask:
			long = append(long, slowdown)
		}
	}
	return l.ep.health.EndpointSlowdown(running, long)
}

// pace returns the slowdown that a run at the endpoint of a lease is expected to have, or 0 without placement
// by speed.
func (c *Core) pace(l *lease) float64 {
	if !c.cfg.PlaceBySpeed {
		return 0
	}
	return l.ep.health.Pace(c.now, c.usualSlowdown)
}

// awaitsFaster reports whether a run waits for a faster endpoint that is in use: it would be late on each
// endpoint with room for it, and in time there.
func (c *Core) awaitsFaster(r *run, held []*endpoint) bool {
	if !c.cfg.PlaceBySpeed || !c.choice.IsLate() {
		return false
	}
	for _, ep := range held {
		l := ep.lease
		if c.choice.IsInTime(c.pace(l)) && c.usable(l) && c.allowed(r, l) && r.Need.Fits(ep.Capacity) && !c.isSlow(l) {
			c.speedCounts.awaited++
			return true
		}
	}
	return false
}

// usualNeed returns the usual need of runs of a service that wait here, in thousandths of cores, or 0 if it is
// not known.
func (c *Core) usualNeed(service string) int {
	if u := c.usualNeeds[service]; u != nil {
		return u.Cores()
	}
	return 0
}

// recordWaitingNeed records the need of a run that has found no endpoint at once.
func (c *Core) recordWaitingNeed(r *run) {
	if !c.cfg.PlaceBySpeed || r.needRecorded {
		return
	}
	r.needRecorded = true
	u := c.usualNeeds[r.service]
	if u == nil {
		u = &policy.UsualNeed{}
		c.usualNeeds[r.service] = u
	}
	u.Record(r.Need)
}

// maxPace returns the slowdown up to which a task of a job is in time if it starts now. It is 0 if the task is late
// or without placement by speed.
func (c *Core) maxPace(j *job, step int) float64 {
	if !c.cfg.PlaceBySpeed {
		return 0
	}
	return max(policy.MaxPace(c.now, j.due, j.estimate(step)), 0)
}

// reportSpeed adds the known slowdown of an endpoint to its handover.
func (c *Core) reportSpeed(ep *endpoint, m *cornelwall.Handover) {
	if !c.cfg.PlaceBySpeed {
		return
	}
	if slowdown, runs := ep.health.Speed().Mean(c.now); runs > 0 {
		m.Pace, m.PaceRuns = policy.PaceHundredths(slowdown), runs
	}
}

// takeSpeed takes over the slowdown of an endpoint that its previous holder has reported.
func (c *Core) takeSpeed(ep *endpoint, m *cornelwall.Handover) {
	if c.cfg.PlaceBySpeed {
		ep.health.RestoreSpeed(c.now, policy.RestoreSpeed(c.now, float64(m.Pace)/100, m.PaceRuns))
	}
}

// logSpeeds logs what is known of the speeds of the endpoints held.
func (c *Core) logSpeeds() {
	if !c.cfg.PlaceBySpeed {
		return
	}
	var known []float64
	for _, ep := range c.held() {
		if ep.health.Speed().IsKnown(c.now) {
			known = append(known, c.pace(ep.lease))
		}
	}
	pairs := []any{"known", len(known), "longtasks", c.speedCounts.longTasks, "awaited", c.speedCounts.awaited}
	if len(known) > 0 {
		pairs = append(pairs, "fastest", slices.Min(known), "slowest", slices.Max(known))
	}
	c.speedCounts = speedCounts{}
	c.log("speeds", pairs...)
}
