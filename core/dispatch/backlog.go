package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/policy"
)

const (
	withdrawalRetention = 15 * time.Second // for which withdrawn runs are remembered: longer than any message is delayed
	pruneInterval       = time.Second
	defaultEstimate     = 200 * time.Millisecond
)

// runState is the state of a run at its holder.
type runState int

const (
	runWaiting runState = iota
	runStarting
	runRunning
	runStopping
)

// run is one run of a task that was assigned to this entry as a holder.
type run struct {
	cornelwall.AssignTask
	id          cornelwall.RunID
	owner       cornelwall.Incarnation
	service     string
	spec        string
	class       int
	remaining   float64   // share of its batch's tasks that have not started
	batchSize   int       // tasks of its batch, at all holders
	due         time.Time // target time of its batch
	usefulUntil time.Time // after it the answer to its batch is of little use
	receivedAt  time.Time // arrival of the assignment, or earlier if the message may have waited to be read

	handedOver     bool      // a previous holder handed it over to this entry
	inheritedProof time.Time // if so, when its owner last proved that it hears that holder
	ownerKnows     bool      // and its owner has confirmed that it counts this entry as the holder
	reportedAt     time.Time // when its owner was last told that it runs here

	state           runState
	lease           *lease    // lease under which it was started
	startedAt       time.Time // when the start was ordered
	endProofPoll    uint64    // number of the first poll that proves its end if it isn't listed; 0 if none does yet
	stopRequestedAt time.Time // first stop
	lastStopSent    time.Time // last stop, as stops are repeated
	stopAcked       bool      // the endpoint has accepted the stop
	startOpen       bool      // the start was sent and may still be answered
	startAnswered   bool      // the endpoint is known to have carried out the start
	seenAt          time.Time // when the endpoint last told that it runs; zero if it has not told this entry
	progress        policy.Progress
	needRecorded    bool // its need is counted in the usual need of its service
	longTask        bool // it is found to be a long task, see findLongTasks
	unansweredTicks int  // ticks since its start was ordered, until that is answered
}

// transferredRun is a run that was transferred to the next holder of its endpoint.
type transferredRun struct {
	to            cornelwall.Incarnation
	transferredAt time.Time
	owner         cornelwall.Incarnation
	endpoint      string
	fence         uint64 // this entry's fence; a holder with a higher one reports whether it kept the run
}

// endedRun is the result of a run, kept to be sent again if the owner missed it.
type endedRun struct {
	result  cornelwall.RunResult
	endedAt time.Time
}

// handleAssign adds tasks from their owner to the backlog. Tasks that quote an outdated session are
// returned: contact with the owner was lost, and it may have assigned them to others since.
func (c *Core) handleAssign(from cornelwall.Incarnation, m *cornelwall.Assign) {
	p := c.peers[from]
	valid := from == c.cfg.Self || c.hasProof(p) && p.session == m.Session
	receivedAt := c.now
	if valid && from != c.cfg.Self {
		if c.now.Sub(p.provenAt) > heartbeatInterval {
			c.askForProof(p) // the link was idle, and the proof is about to expire
		}
		if latest := p.provenAt.Add(maxAssignLead + maxAssignDelay); latest.Before(receivedAt) {
			receivedAt = latest // the message may have waited before it was read
		}
	}
	for i := range m.Tasks {
		t := &m.Tasks[i]
		if c.runs[t.RunID] != nil {
			continue
		}
		if _, withdrawn := c.withdrawnRuns[t.RunID]; !valid || withdrawn || c.isStopping() || c.catchUpOverdue() || !c.fitsHeldEndpoint(m.Service, t) {
			c.sendResult(from, cornelwall.RunResult{RunID: t.RunID, End: cornelwall.RunUnstarted})
			continue
		}
		if c.isCancelled(cornelwall.BatchOf(t.Task)) {
			c.returnCancelled(from, t.RunID)
			continue
		}
		if c.crashes.Suspicion(c.now, t.Task) >= policy.OnHold {
			c.returnSuspect(from, t.RunID)
			continue
		}
		r := &run{
			AssignTask: *t, id: t.RunID, owner: from, service: m.Service, spec: m.Spec, class: m.Class, remaining: m.Remaining, batchSize: m.Count,
			due: c.now.Add(m.DueIn), usefulUntil: c.now.Add(m.UsefulFor), receivedAt: receivedAt,
		}
		if r.Estimate <= 0 {
			r.Estimate = defaultEstimate
		}
		c.runs[r.id] = r
		c.backlog = append(c.backlog, r)
		c.backlogChanged = true
	}
}

// returnUnplaceable returns waiting runs that fit none of the endpoints still held.
func (c *Core) returnUnplaceable() {
	for _, r := range slices.Clone(c.backlog) {
		if !c.fitsHeldEndpoint(r.service, &r.AssignTask) {
			c.withdrawRun(r, true)
		}
	}
}

// fitsHeldEndpoint reports whether any endpoint that this entry holds outside the evacuated data centres is
// large enough for a task and has the label that it requires.
func (c *Core) fitsHeldEndpoint(service string, t *cornelwall.AssignTask) bool {
	for _, ep := range c.heldEndpoints {
		if !c.isEvacuated(ep.DataCentre) && ep.Service == service && t.Need.Fits(ep.Capacity) && (t.Requires == "" || slices.Contains(ep.Labels, t.Requires)) {
			return true
		}
	}
	return false
}

// handleWithdraw withdraws runs for their owner, or for a previous holder that forwards the
// request. For a run that was transferred to the next holder of its endpoint it forwards the
// request, and for one that has ended it sends the result to the sender again. An unknown run is
// remembered, so that a late assignment doesn't start it.
func (c *Core) handleWithdraw(from cornelwall.Incarnation, m *cornelwall.Withdraw) {
	for _, id := range m.Runs {
		r := c.runs[id]
		if r != nil {
			if !m.OnlyWaiting || r.state == runWaiting {
				c.logWithdrawal(from, r)
				c.withdrawRun(r, true)
			}
			continue
		}
		if next, ok := c.transferredRuns[id]; ok && !(m.MayHaveStarted && next.to == from) {
			c.send(next.to, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{id}, OnlyWaiting: m.OnlyWaiting, MayHaveStarted: true}})
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

// logWithdrawal logs the withdrawal of a run that has started, and how old the proof of its owner is.
func (c *Core) logWithdrawal(from cornelwall.Incarnation, r *run) {
	if r.state != runStarting && r.state != runRunning {
		return
	}
	pairs := []any{"task", r.id.Task, "run", r.id.Run, "endpoint", r.lease.ep.ID, "from", from, "owner", r.owner, "started", c.now.Sub(r.startedAt)}
	if r.owner != c.cfg.Self {
		pairs = append(pairs, "proof", c.proofAge(r))
	}
	c.log("run-withdrawn", pairs...)
}

// withdrawRun removes a waiting run from the backlog, and stops one that has started. If report is
// set, the owner is sent the result of a run that waited; that of a stopped run is always sent.
func (c *Core) withdrawRun(r *run, report bool) {
	switch r.state {
	case runWaiting:
		c.removeWaiting(r)
		c.withdrawnRuns[r.id] = c.now
		if report {
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

// returnBacklog returns all waiting runs to their owners.
func (c *Core) returnBacklog() {
	for _, r := range slices.Clone(c.backlog) {
		c.withdrawRun(r, true)
	}
}

// pruneRunRecords removes the records of withdrawn, ended and transferred runs for which no delayed
// message can arrive any more.
func (c *Core) pruneRunRecords() {
	if c.now.Sub(c.lastPrune) < pruneInterval {
		return
	}
	c.lastPrune = c.now
	old := func(at time.Time) bool { return c.now.Sub(at) > withdrawalRetention }
	maps.DeleteFunc(c.withdrawnRuns, func(_ cornelwall.RunID, at time.Time) bool { return old(at) })
	maps.DeleteFunc(c.endedRuns, func(_ cornelwall.RunID, e endedRun) bool { return old(e.endedAt) })
	c.crashes.Expire(c.now)
	c.expireCancellations()
	c.expireOwnerRecords()
	maps.DeleteFunc(c.transferredRuns, func(_ cornelwall.RunID, r transferredRun) bool { return old(r.transferredAt) })
}

// handleBatchProgress updates the remaining share and the targets of a batch.
func (c *Core) handleBatchProgress(m *cornelwall.BatchProgress) {
	for i, id := range m.Runs {
		r := c.runs[id]
		if r == nil {
			continue
		}
		r.remaining = min(r.remaining, m.Remaining)
		if i < len(m.Estimates) {
			r.Estimate = max(m.Estimates[i], time.Millisecond)
			r.due, r.usefulUntil = c.now.Add(m.DueIn), c.now.Add(m.UsefulFor)
		}
		c.backlogChanged = true
	}
}

// waiting returns what the place of a run in the backlog depends on.
func (r *run) waiting() *policy.Waiting {
	return &policy.Waiting{
		Class: r.class, Remaining: r.remaining, BatchSize: r.batchSize, Estimate: r.Estimate, Due: r.due, UsefulUntil: r.usefulUntil,
	}
}

// sortBacklog sorts the waiting runs by value, highest first, and runs of equal value by due time. An entry
// that sheds load sorts them by rank.
func (c *Core) sortBacklog() {
	if c.cfg.Shed {
		c.rankBacklog()
		return
	}
	values := c.backlogValues()
	slices.SortFunc(c.backlog, func(a, b *run) int {
		return cmp.Or(cmp.Compare(values[b], values[a]), a.due.Compare(b.due), cmp.Compare(a.id.Task, b.id.Task))
	})
}

// backlogValues returns the value of each waiting run.
func (c *Core) backlogValues() map[*run]float64 {
	siblings, total := c.waitingSiblings(), c.heldCores()
	values := make(map[*run]float64, len(c.backlog))
	for _, r := range c.backlog {
		share := float64(r.Need.Cores) / float64(total)
		values[r] = r.waiting().ValueAmong(c.now, siblings[stepName(r.id.Task)], share)
	}
	return values
}

// waitingSiblings returns the number of waiting runs of each step.
func (c *Core) waitingSiblings() map[string]int {
	siblings := map[string]int{}
	for _, r := range c.backlog {
		siblings[stepName(r.id.Task)]++
	}
	return siblings
}

// heldCores returns the cores of the endpoints held in thousandths, at least 1.
func (c *Core) heldCores() int {
	total := 0
	for _, ep := range c.held() {
		total += ep.Capacity.Cores
	}
	return max(total, 1)
}

// startBacklog starts the waiting runs that fit on the endpoints held, in order of value.
func (c *Core) startBacklog() {
	if len(c.backlog) == 0 || !c.backlogChanged || c.resuming() || c.catchingUp() {
		return
	}
	c.backlogChanged = false
	c.sortBacklog()
	held := c.held()
	reserved := reservations{}
	waiting := c.backlog[:0]
	for _, r := range c.backlog {
		if l := c.chooseLease(r, held, reserved); l != nil {
			c.startRun(r, l)
			c.classShares.Record(c.now, r.class, r.Need.Cores, r.Estimate)
		} else {
			c.recordWaitingNeed(r)
			waiting = append(waiting, r)
			c.reserveFor(r, held, reserved)
		}
	}
	clear(c.backlog[len(waiting):])
	c.backlog = waiting
	c.returnBusyRuns()
}

// returnBusyRuns returns the runs that were assigned on condition that they can start at once.
func (c *Core) returnBusyRuns() {
	for _, r := range slices.Clone(c.backlog) {
		if r.ReturnIfBusy {
			c.withdrawRun(r, true)
		}
	}
}

// chooseLease returns the lease on the best endpoint for a run, or nil if there is none for it.
func (c *Core) chooseLease(r *run, held []*endpoint, reserved reservations) *lease {
	c.choice.Reset(c.now, r.waiting(), c.cfg.PlaceBySpeed, c.usualNeed(r.service))
	for i, ep := range held {
		l := ep.lease
		if !c.usable(l) || !c.allowed(r, l) || !r.Need.Fits(ep.Capacity.Minus(l.used)) || !reserved.allow(c.now, r, l) {
			continue
		}
		option := c.endpointOption(r, l)
		c.choice.Add(i, &option)
	}
	if best := c.choice.Best(); best >= 0 && !c.awaitsFaster(r, held) {
		return held[best].lease
	}
	return nil
}

// endpointOption returns what the choice of an endpoint for a run depends on.
func (c *Core) endpointOption(r *run, l *lease) policy.EndpointOption {
	slowdown := c.slowdown(l)
	return policy.EndpointOption{
		CoresLeft: l.ep.Capacity.Cores - l.used.Cores - r.Need.Cores,
		Slowdown:  slowdown,
		IsSlow:    policy.IsSlow(slowdown, c.usualSlowdown),
		MayTry:    l.ep.health.MayTrySlow(c.now, len(l.runs)),
		Avoid:     r.AvoidEndpoint == l.ep.ID,
		OtherRack: r.Rack != "" && !slices.Contains(l.ep.Labels, r.Rack),
		Runs:      len(l.runs),
		Suspicion: c.suspicionOfRun(r),
		Beside:    c.suspicionAt(l),
		Pace:      c.pace(l),
	}
}

// allowed reports whether the requirements and limits of a run permit it on an endpoint.
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

// usable reports whether new runs may start under a lease.
func (c *Core) usable(l *lease) bool {
	return l.phase == phaseReady && c.mayStartIn(l.ep.DataCentre) && l.knowsKind() && !l.ep.Leaving && !c.isGone(l.ep) && !l.clockAt.IsZero() &&
		!l.mustExpire(c.now) && l.ep.health.MayStart(c.now, len(l.runs))
}

// countsAsCapacity reports whether this entry reports the cores of a lease as capacity.
func (c *Core) countsAsCapacity(l *lease) bool { return c.usable(l) && !c.isSlow(l) }

// freeCapacity returns the free capacity and the queued work of this entry.
func (c *Core) freeCapacity() cornelwall.FreeCapacity {
	var v cornelwall.FreeCapacity
	if c.isStopping() || c.catchUpOverdue() {
		return v
	}
	for _, ep := range c.held() {
		if !c.countsAsCapacity(ep.lease) {
			continue
		}
		v.Total += ep.Capacity.Cores
		if free := ep.Capacity.Minus(ep.lease.used); free.Cores > 0 && c.suspicionAt(ep.lease) < policy.Isolated {
			v.Free = append(v.Free, free)
			if c.cfg.PlaceBySpeed {
				v.Paces = append(v.Paces, policy.PaceHundredths(c.pace(ep.lease)))
			}
		}
	}
	for _, r := range c.backlog {
		if c.countsAsQueued(r) {
			v.Queued = policy.AddQueued(v.Queued, r.class, r.Need, r.Estimate)
		}
	}
	return v
}
