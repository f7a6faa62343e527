package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cornelwall"
)

const (
	withdrawalRetention = 15 * time.Second // for which a withdrawn run is remembered, longer than a message is late
	pruneInterval       = time.Second
	defaultEstimate     = 200 * time.Millisecond
	classDiscount       = 0.25 // by which each class counts less than the one before
	lateWeight          = 0.2  // of an answer after it was due, to one in time
	minRemaining        = 0.02
)

// runState is how far a run of a task is at its holder.
type runState int

const (
	runWaiting runState = iota
	runStarting
	runRunning
	runStopping
)

// run is one run of a task that this entry is to start as a holder.
type run struct {
	cornelwall.AssignTask
	id          cornelwall.RunID
	owner       cornelwall.Incarnation
	service     string
	spec        string
	class       int
	remaining   float64   // share of its batch that has not begun
	batchSize   int       // tasks of its batch, here and elsewhere
	due         time.Time // by which its batch should have ended
	usefulUntil time.Time // after which its answer is of little use
	receivedAt  time.Time

	state           runState
	lease           *lease
	startedAt       time.Time
	endProofPoll    uint64    // number of the first look that proves its end by not listing it; 0 if none does
	stopRequestedAt time.Time // when it was first told to stop
	lastStopSent    time.Time
	stopAcked       bool // the endpoint has taken the stop
}

// transferredRun is a run that went on to the next holder of its endpoint.
type transferredRun struct {
	to            cornelwall.Incarnation
	transferredAt time.Time
	owner         cornelwall.Incarnation
	endpoint      string
	fence         uint64 // of this entry; a holder with a higher one tells whether it has kept the run
}

// endedRun is the end of a run that has started, for an owner that has not heard of it.
type endedRun struct {
	result  cornelwall.RunResult
	endedAt time.Time
}

// handleAssign takes tasks of an owner. An owner that does not know the session has been
// out of touch, and may have given the tasks to others since it sent this.
func (c *Core) handleAssign(from cornelwall.Incarnation, m *cornelwall.Assign) {
	p := c.peers[from]
	valid := from == c.cfg.Self || c.hasProof(p) && p.session == m.Session
	came := c.now
	if valid && from != c.cfg.Self {
		if c.now.Sub(p.provenAt) > heartbeatInterval {
			c.useLink(p)
			p.replyNow = true
			c.sendHeartbeats(p) // the link was idle, and its proof is about to lapse
		}
		if latest := p.provenAt.Add(maxAssignLead + maxAssignDelay); latest.Before(came) {
			came = latest // it may have been read late
		}
	}
	for i := range m.Tasks {
		t := &m.Tasks[i]
		if c.runs[t.RunID] != nil {
			continue
		}
		if _, stopped := c.withdrawnRuns[t.RunID]; !valid || stopped || c.isStopping() || !c.fitsHeldEndpoint(m.Service, t) {
			c.sendResult(from, cornelwall.RunResult{RunID: t.RunID, End: cornelwall.RunUnstarted})
			continue
		}
		r := &run{
			AssignTask: *t, id: t.RunID, owner: from, service: m.Service, spec: m.Spec, class: m.Class, remaining: m.Remaining, batchSize: m.Count,
			due: c.now.Add(m.DueIn), usefulUntil: c.now.Add(m.UsefulFor), receivedAt: came,
		}
		if r.Estimate <= 0 {
			r.Estimate = defaultEstimate
		}
		c.runs[r.id] = r
		c.backlog = append(c.backlog, r)
		c.backlogChanged = true
	}
}

// returnUnplaceable gives back what waits for endpoints that this entry does not hold any more.
func (c *Core) returnUnplaceable() {
	for _, r := range slices.Clone(c.backlog) {
		if !c.fitsHeldEndpoint(r.service, &r.AssignTask) {
			c.withdrawRun(r, true)
		}
	}
}

// fitsHeldEndpoint reports whether an endpoint that this entry holds could ever run a task.
func (c *Core) fitsHeldEndpoint(service string, t *cornelwall.AssignTask) bool {
	for _, ep := range c.heldEndpoints {
		if ep.Service == service && t.Need.Fits(ep.Capacity) && (t.Requires == "" || slices.Contains(ep.Labels, t.Requires)) {
			return true
		}
	}
	return false
}

// handleWithdraw takes tasks back for their owner.
func (c *Core) handleWithdraw(from cornelwall.Incarnation, m *cornelwall.Withdraw) {
	for _, id := range m.Runs {
		r := c.runs[id]
		if r != nil {
			if !m.OnlyWaiting || r.state == runWaiting {
				c.withdrawRun(r, true)
			}
			continue
		}
		if passed, ok := c.transferredRuns[id]; ok && !(m.MayHaveStarted && passed.to == from) {
			c.send(passed.to, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{id}, OnlyWaiting: m.OnlyWaiting, MayHaveStarted: true}})
			continue
		}
		if e, ok := c.endedRuns[id]; ok {
			c.sendResult(from, e.result)
			continue
		}
		c.withdrawnRuns[id] = c.now
		if !m.MayHaveStarted {
			c.sendResult(from, cornelwall.RunResult{RunID: id, End: cornelwall.RunUnstarted})
		}
	}
}

// withdrawRun drops a run that waits and stops one that has started.
func (c *Core) withdrawRun(r *run, tell bool) {
	switch r.state {
	case runWaiting:
		c.removeWaiting(r)
		c.withdrawnRuns[r.id] = c.now
		if tell {
			c.sendResult(r.owner, cornelwall.RunResult{RunID: r.id, End: cornelwall.RunUnstarted})
		}
	case runStarting, runRunning:
		c.stopRun(r)
	}
}

func (c *Core) removeWaiting(r *run) {
	delete(c.runs, r.id)
	c.backlog = slices.DeleteFunc(c.backlog, func(w *run) bool { return w == r })
}

// returnBacklog gives all that waits back to its owners.
func (c *Core) returnBacklog() {
	for _, r := range slices.Clone(c.backlog) {
		c.withdrawRun(r, true)
	}
}

// pruneRunRecords forgets withdrawn runs of which no late message can come any more.
func (c *Core) pruneRunRecords() {
	if c.now.Sub(c.lastPrune) < pruneInterval {
		return
	}
	c.lastPrune = c.now
	old := func(at time.Time) bool { return c.now.Sub(at) > withdrawalRetention }
	maps.DeleteFunc(c.withdrawnRuns, func(_ cornelwall.RunID, at time.Time) bool { return old(at) })
	maps.DeleteFunc(c.endedRuns, func(_ cornelwall.RunID, e endedRun) bool { return old(e.endedAt) })
	maps.DeleteFunc(c.transferredRuns, func(_ cornelwall.RunID, p transferredRun) bool { return old(p.transferredAt) })
}

// handleBatchProgress takes word of how much is left of a batch.
func (c *Core) handleBatchProgress(m *cornelwall.BatchProgress) {
	for _, id := range m.Runs {
		if r := c.runs[id]; r != nil {
			r.remaining = min(r.remaining, m.Remaining)
			c.backlogChanged = true
		}
	}
}

// value returns what a unit of work on a run brings that begins now: more for a queue of
// the first class, for a batch of which little is left to begin and for one that can still
// be on time, and nothing once its answer would be of little use.
func (r *run) value(now time.Time) float64 {
	v := 1 / ((1 + classDiscount*float64(r.class)) * max(r.remaining, minRemaining))
	switch end := now.Add(r.Estimate); {
	case !end.After(r.due):
		return v
	case !end.After(r.usefulUntil):
		return lateWeight * v
	}
	return 0
}

// sortBacklog puts the waiting runs that bring most first, and among equals those that
// are due first.
func (c *Core) sortBacklog() {
	values := c.backlogValues()
	slices.SortFunc(c.backlog, func(a, b *run) int {
		return cmp.Or(cmp.Compare(values[b], values[a]), a.due.Compare(b.due), cmp.Compare(a.id.Task, b.id.Task))
	})
}

// unstartedTasks returns how many tasks of the run's batch have not begun, here and elsewhere.
func (r *run) unstartedTasks() int { return int(math.Round(r.remaining * float64(r.batchSize))) }

// backlogValues returns the value of each waiting run. A batch is on time only if the last
// of its tasks is, so that a run counts as begun once its siblings here have had their turn,
// and one more place has become free if others wait elsewhere, which need one too.
func (c *Core) backlogValues() map[*run]float64 {
	siblings := map[string]int{}
	for _, r := range c.backlog {
		siblings[stepName(r.id.Task)]++
	}
	total := 0
	for _, ep := range c.held() {
		total += ep.Capacity.Cores
	}
	values := make(map[*run]float64, len(c.backlog))
	for _, r := range c.backlog {
		here := siblings[stepName(r.id.Task)]
		ahead := here - 1
		if r.unstartedTasks() > here {
			ahead = here
		}
		turn := time.Duration(float64(r.Need.Cores*ahead) / float64(max(total, 1)) * float64(r.Estimate))
		values[r] = r.value(c.now.Add(turn))
	}
	return values
}

// startBacklog starts what fits on the endpoints that this entry holds.
func (c *Core) startBacklog() {
	if len(c.backlog) == 0 || !c.backlogChanged || c.resuming() {
		return
	}
	c.backlogChanged = false
	c.sortBacklog()
	held := c.held()
	rest := c.backlog[:0]
	for _, r := range c.backlog {
		if l := c.chooseLease(r, held); l != nil {
			c.startRun(r, l)
		} else {
			rest = append(rest, r)
		}
	}
	clear(c.backlog[len(rest):])
	c.backlog = rest
	c.returnBusyRuns()
}

// returnBusyRuns gives back tasks whose owners expected them to start at once.
func (c *Core) returnBusyRuns() {
	for _, r := range slices.Clone(c.backlog) {
		if r.ReturnIfBusy {
			c.withdrawRun(r, true)
		}
	}
}

// chooseLease returns the lease whose endpoint is best for a run, or nil if none of those held
// has room. Among the endpoints that are fit the one is best that is left with the least.
func (c *Core) chooseLease(r *run, held []*endpoint) *lease {
	var best *lease
	var bestCost int
	for _, ep := range held {
		l := ep.lease
		if !c.usable(l) || !c.allowed(r, l) || !r.Need.Fits(ep.Capacity.Minus(l.used)) {
			continue
		}
		cost := ep.Capacity.Cores - l.used.Cores - r.Need.Cores
		if pace := l.slowdown(c.now); pace >= slowdownLimit {
			if !ep.health.mayProbe(c.now, len(l.runs)) && c.now.Add(time.Duration(pace*float64(r.Estimate))).After(r.usefulUntil) {
				continue
			}
			cost += slowCost
		}
		if r.AvoidEndpoint == ep.ID {
			cost += avoidCost
		}
		if r.Rack != "" && !slices.Contains(ep.Labels, r.Rack) {
			cost += otherRackCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = l, cost
		}
	}
	return best
}

// allowed reports whether a run may start at an endpoint.
func (c *Core) allowed(r *run, l *lease) bool {
	if l.ep.Service != r.service || r.Requires != "" && !slices.Contains(l.ep.Labels, r.Requires) {
		return false
	}
	if r.PerEndpoint == 0 {
		return true
	}
	n := 0
	for _, s := range l.runs {
		if stepName(s.id.Task) == stepName(r.id.Task) {
			n++
		}
	}
	return n < r.PerEndpoint
}

// usable reports whether runs may start under a lease.
func (c *Core) usable(l *lease) bool {
	return l.phase == phaseReady && !l.ep.Leaving && !c.isGone(l.ep) && !l.clockAt.IsZero() &&
		!l.mustLapse(c.now) && l.ep.health.mayStart(c.now, len(l.runs))
}

// freeCapacity returns what this entry has free.
func (c *Core) freeCapacity() cornelwall.FreeCapacity {
	var v cornelwall.FreeCapacity
	if c.isStopping() {
		return v
	}
	for _, ep := range c.held() {
		if !c.usable(ep.lease) || ep.lease.slowdown(c.now) >= slowdownLimit {
			continue
		}
		v.Total += ep.Capacity.Cores
		if free := ep.Capacity.Minus(ep.lease.used); free.Cores > 0 {
			v.Free = append(v.Free, free)
		}
	}
	for _, r := range c.backlog {
		if r.value(c.now) > 0 {
			v.Queued = addQueued(v.Queued, r.class, r.Need, r.Estimate)
		}
	}
	return v
}
