package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

const (
	leaseTime   = 600 * time.Millisecond // that a look or a start adds to a lease
	lookWait    = 200 * time.Millisecond // for which a look waits for an end
	lookLate    = 120 * time.Millisecond // after its wait, when a look is sent again
	lookRetry   = 100 * time.Millisecond // between looks at an endpoint that does not answer
	lookAgain   = 10 * time.Millisecond  // between looks that are sent to settle something
	ackDelay    = 40 * time.Millisecond  // of ends at an endpoint that has become idle
	looksAtOnce = 4
	lostAfter   = 700 * time.Millisecond // without an answer, after which nothing starts there
	stopRepeat  = 80 * time.Millisecond  // between two stops of one run
	lapseSlack  = 30 * time.Millisecond
	// After yieldPatience the entry that took an endpoint has found and stopped what it
	// does not know: it looks each lookWait, and then lets the lease end.
	yieldPatience = lookWait + 2*lookLate + leaseTime
	// An endpoint's clock may be slow by this share.
	clockDrift = 0.02
)

// phase is how far a lease is.
type phase int

const (
	phaseTaking  phase = iota // it is not known yet what runs there
	phaseReady                // tasks may start
	phaseLost                 // the endpoint does not answer
	phaseHanding              // offered to the next holder
	phaseYielded              // another entry holds the endpoint
)

// lease is this entry's hold on an endpoint.
type lease struct {
	ep    *endpoint
	first uint64 // fence with which it was taken
	fence uint64
	phase phase
	since time.Time
	boot  int64

	clock   time.Duration // of the endpoint, at clockAt at the latest
	clockAt time.Time     // zero: not known
	until   time.Duration // latest end that any order gave the lease

	looks    int // under way
	lookedAt time.Time
	asked    time.Time // first look that was sent since the last answer; zero if none
	answered time.Time // last answer to a look
	acked    int64     // greatest number of the ends taken in
	ackSent  int64
	endedAt  time.Time // when the last end was taken in

	runs      map[cornelwall.RunID]*run
	used      cornelwall.Share
	ended     []cornelwall.OverRun // found while taking
	strangers map[cornelwall.RunID]time.Time

	from      cornelwall.Incarnation // who handed it on; zero if it was taken
	handTo    cornelwall.Incarnation // to whom it was offered, without an answer yet
	handAt    time.Time
	handAcked int64 // greatest number of the ends taken in before it was offered
	yieldedAt time.Time
}

// take begins to hold an endpoint. The runs given may go on; all others are stopped
// before the lease is extended.
func (c *Core) take(ep *endpoint, runs []cornelwall.HandoverRun) {
	fence := c.nextFence()
	l := &lease{
		ep: ep, first: fence, fence: fence, since: c.now, answered: c.now,
		runs: map[cornelwall.RunID]*run{}, strangers: map[cornelwall.RunID]time.Time{},
	}
	ep.lease, ep.free = l, time.Time{}
	for i := range runs {
		h := &runs[i]
		r := &run{id: h.RunID, owner: h.Owner, came: c.now, startAt: c.now.Add(-h.Age), settled: c.now.Add(-h.Age), state: runRunning}
		r.AssignTask = cornelwall.AssignTask{RunID: h.RunID, Need: h.Need, Estimate: h.Estimate}
		c.runs[r.id] = r
		l.add(r)
	}
	c.log("endpoint-taken", "endpoint", ep.ID, "fence", l.fence, "runs", len(runs))
	c.look(l, 0)
}

func (l *lease) add(r *run) {
	r.at = l
	l.runs[r.id] = r
	l.used = l.used.Plus(r.Need)
}

func (l *lease) remove(r *run) {
	if _, ok := l.runs[r.id]; ok {
		delete(l.runs, r.id)
		l.used = l.used.Minus(r.Need)
	}
}

func (l *lease) sortedRuns() []*run { return runsThat(l.runs, func(*run) bool { return true }) }

// runsThat returns the runs that fit, in a stable order.
func runsThat(runs map[cornelwall.RunID]*run, fits func(*run) bool) []*run {
	var list []*run
	for _, r := range runs {
		if fits(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.id.Task, b.id.Task), cmp.Compare(a.id.Run, b.id.Run))
	})
	return list
}

// clockLow returns a time that the endpoint's clock has surely reached.
func (l *lease) clockLow(now time.Time) time.Duration {
	return l.clock + time.Duration(float64(now.Sub(l.clockAt))*(1-clockDrift))
}

// extend returns the end of a lease that begins now and notes it.
func (l *lease) extend(now time.Time) time.Duration {
	if l.clockAt.IsZero() {
		return 0
	}
	until := l.clock + now.Sub(l.clockAt) + leaseTime
	l.until = max(l.until, until)
	return until
}

// stuck reports whether something runs that must not, and a stop has gone without effect,
// so that the lease must end.
func (l *lease) stuck(now time.Time) bool {
	if len(l.strangers) > 0 {
		return true
	}
	for _, r := range l.runs {
		if r.state == runStopping && now.Sub(r.stopAt) > stopRepeat+lookAgain {
			return true
		}
	}
	return false
}

// silence returns how long looks have gone without an answer.
func (l *lease) silence(now time.Time) time.Duration {
	if l.asked.IsZero() {
		return 0
	}
	return now.Sub(l.asked)
}

// look asks an endpoint what runs there, and extends the lease if it may.
func (c *Core) look(l *lease, wait time.Duration) {
	acked := l.acked
	if l.phase == phaseHanding {
		acked = l.handAcked // the next holder has to be told of the ends since
	}
	cmd := cornelwall.Look{Endpoint: l.ep.Endpoint, Fence: l.fence, Acked: acked, Wait: wait}
	if (l.phase == phaseReady || l.phase == phaseHanding) && len(l.runs) > 0 && !l.stuck(c.now) {
		cmd.Until = l.extend(c.now)
	}
	l.looks++
	l.lookedAt, l.ackSent = c.now, acked
	if l.asked.IsZero() {
		l.asked = c.now
	}
	c.emit(cmd)
}

// looked takes the answer to a look.
func (c *Core) looked(ev cornelwall.Looked) {
	l := c.leaseOf(ev.Endpoint, ev.Fence)
	if l == nil {
		return
	}
	l.looks--
	switch ev.Refusal {
	case cornelwall.RefusedNone:
	case cornelwall.RefusedFence:
		if ev.Fence == l.fence {
			c.yield(l)
		}
		return
	case cornelwall.RefusedBoot:
		c.replaced(l)
		return
	default:
		return // it is sent again in time
	}
	if ev.Boot < l.boot {
		return // from before the endpoint started anew
	}
	if l.boot != 0 && l.boot != ev.Boot {
		c.restarted(l, ev.Boot)
	}
	l.boot, l.answered, l.asked = ev.Boot, c.now, time.Time{}
	c.setClock(l, ev.Clock)
	for i := range ev.Ended {
		c.listedEnd(l, &ev.Ended[i])
	}
	c.compare(l, &ev)
	if ev.Fence == l.fence {
		c.advance(l)
	}
	c.keepLease(l)
}

// leaseOf returns the lease under which an order with the fence was sent, if it holds.
func (c *Core) leaseOf(id string, fence uint64) *lease {
	ep := c.endpoints[id]
	if ep == nil || ep.lease == nil || fence < ep.lease.first || fence > ep.lease.fence {
		return nil
	}
	return ep.lease
}

// setClock takes the endpoint's clock. What an earlier holder did to the lease is not
// known, so that at first it may last as long as any.
func (c *Core) setClock(l *lease, clock time.Duration) {
	if l.clockAt.IsZero() {
		l.until = max(l.until, clock+c.cfg.Limits.MaxLease)
	}
	if clock >= l.clock || l.clockAt.IsZero() {
		l.clock, l.clockAt = clock, c.now
	}
}

// listedEnd takes an end that an endpoint lists.
func (c *Core) listedEnd(l *lease, e *cornelwall.RunEnded) {
	if e.Number <= l.acked {
		return
	}
	l.acked, l.endedAt = e.Number, c.now
	if l.phase == phaseTaking {
		l.ended = append(l.ended, cornelwall.OverRun{RunID: e.RunID, How: e.How, Endpoint: l.ep.ID})
	}
	if r := c.runs[e.RunID]; r != nil && r.at == l {
		c.endRun(r, e.How)
	}
}

// compare matches the list of what runs with what should.
func (c *Core) compare(l *lease, ev *cornelwall.Looked) {
	running := map[cornelwall.RunID]bool{}
	for _, s := range ev.Running {
		running[s.RunID] = true
		r := l.runs[s.RunID]
		if r == nil {
			c.stopStranger(l, s.RunID)
			continue
		}
		if r.state == runStarting {
			c.runBegan(r)
		}
	}
	for id := range l.strangers {
		if !running[id] {
			delete(l.strangers, id)
		}
	}
	for _, r := range runsThat(l.runs, func(r *run) bool {
		return !running[r.id] && !r.settled.IsZero() && r.settled.Before(ev.Sent)
	}) {
		how := cornelwall.RunLapsed
		if r.state == runStopping {
			how = cornelwall.RunStopped
		}
		c.endRun(r, how)
	}
}

// stopStranger stops a run that this entry knows nothing of.
func (c *Core) stopStranger(l *lease, id cornelwall.RunID) {
	if at, ok := l.strangers[id]; ok && c.now.Sub(at) < stopRepeat {
		return
	}
	l.strangers[id] = c.now
	c.log("stranger-stopped", "endpoint", l.ep.ID, "task", id.Task, "run", id.Run)
	c.emit(cornelwall.StopRun{Endpoint: l.ep.Endpoint, Fence: l.fence, Run: id})
}

// advance ends the taking of an endpoint once only known runs are left, and the loss of
// one that answers again.
func (c *Core) advance(l *lease) {
	switch l.phase {
	case phaseTaking:
		if len(l.strangers) > 0 {
			return
		}
		l.phase, c.changed = phaseReady, true
		m := &cornelwall.Taken{Endpoint: l.ep.ID, Fence: l.fence, Ended: l.ended}
		l.ended = nil
		for _, r := range l.sortedRuns() {
			m.Kept = append(m.Kept, r.id)
		}
		c.log("endpoint-ready", "endpoint", l.ep.ID, "fence", l.fence, "kept", len(m.Kept), "after", c.now.Sub(l.since))
		for _, p := range c.byID {
			to := *m
			to.Session = p.theirSession
			c.send(p.id, cornelwall.Message{Taken: &to})
		}
		c.send(c.cfg.Self, cornelwall.Message{Taken: m})
	case phaseLost:
		l.phase, c.changed = phaseReady, true
		c.log("endpoint-back", "endpoint", l.ep.ID)
	}
}

// checkLeases looks again where it is time, and ends what has lapsed.
func (c *Core) checkLeases() {
	for _, ep := range c.held() {
		c.keepLease(ep.lease)
		if ep.lease != nil {
			c.checkLapse(ep.lease)
		}
		if ep.lease != nil {
			c.stopStragglers(ep.lease)
		}
	}
	c.checkYielded()
}

// keepLease sends the look that is due, if any.
func (c *Core) keepLease(l *lease) {
	since := c.now.Sub(l.lookedAt)
	switch {
	case l.looks >= looksAtOnce:
	case l.phase == phaseTaking || l.phase == phaseLost:
		if l.looks == 0 && since >= lookAgain && len(l.strangers) > 0 || since >= lookRetry {
			c.look(l, 0)
		}
	case len(l.runs) > 0:
		if l.looks == 0 || since >= lookWait+lookLate || l.silence(c.now) > lookWait+lookLate && since >= lookRetry {
			c.look(l, lookWait)
		} else if l.unsettled() && since >= lookAgain {
			c.look(l, 0)
		}
	case l.acked > l.ackSent && l.looks == 0 && c.now.Sub(l.endedAt) >= ackDelay:
		c.look(l, 0)
	}
	if l.phase == phaseReady && len(l.strangers) > 0 && l.looks == 0 && since >= lookAgain {
		c.look(l, 0)
	}
	for _, r := range runsThat(l.runs, func(r *run) bool {
		return r.state == runStopping && c.now.Sub(r.stopSent) >= stopRepeat && !r.stopped
	}) {
		c.sendStop(r)
	}
}

// unsettled reports whether a run was stopped whose end only a new look can tell.
func (l *lease) unsettled() bool {
	for _, r := range l.runs {
		if r.stopped && r.settled.After(l.lookedAt) {
			return true
		}
	}
	return false
}

// checkLapse ends what ran under a lease that has surely ended.
func (c *Core) checkLapse(l *lease) {
	if l.phase == phaseHanding && c.now.Sub(l.handAt) > handTimeout {
		l.phase = phaseReady
		c.log("handover-timeout", "endpoint", l.ep.ID, "to", l.handTo)
	}
	if l.lapsed(c.now, c.cfg.Limits.StopTime) && !l.handTo.IsZero() {
		c.log("lease-left", "endpoint", l.ep.ID, "runs", len(l.runs), "to", l.handTo)
		c.passOn(l, l.handTo, nil) // it may have taken over and extended the lease
	}
	if l.lapsed(c.now, c.cfg.Limits.StopTime) {
		c.log("lease-lapsed", "endpoint", l.ep.ID, "runs", len(l.runs), "answered", c.now.Sub(l.answered))
		for _, r := range l.sortedRuns() {
			c.endRun(r, cornelwall.RunLapsed)
		}
	}
	if l.silence(c.now) <= lostAfter {
		return
	}
	if l.phase == phaseReady {
		l.phase = phaseLost
		c.log("endpoint-lost", "endpoint", l.ep.ID, "silent", l.silence(c.now))
	}
	if len(l.runs) == 0 {
		l.ep.lostUntil = c.now.Add(lostTime)
		c.release(l.ep)
	}
}

func (l *lease) lapsed(now time.Time, stop time.Duration) bool {
	return len(l.runs) > 0 && !l.clockAt.IsZero() && l.clockLow(now) > l.until+stop+lapseSlack
}

// release gives an endpoint up on which nothing runs.
func (c *Core) release(ep *endpoint) {
	if ep.lease == nil {
		return
	}
	c.log("endpoint-released", "endpoint", ep.ID, "fence", ep.lease.fence)
	ep.lease, ep.free = nil, c.now
}

// restarted takes note that an endpoint has started anew under its name. What ran there
// before is gone, but orders that were on their way may have reached the new boot: its
// lists tell. It has seen no fence, so that it gets a new one, under which orders that
// are still late are refused.
func (c *Core) restarted(l *lease, boot int64) {
	c.log("endpoint-restarted", "endpoint", l.ep.ID, "runs", len(l.runs), "boot", boot)
	l.boot, l.acked, l.ackSent, l.until, l.clockAt, l.clock = boot, 0, 0, 0, time.Time{}, 0
	clear(l.strangers)
	l.phase, l.fence = phaseTaking, c.nextFence()
	c.look(l, 0)
}

// replaced takes note that another endpoint has the address of one: it is gone with all
// that ran there.
func (c *Core) replaced(l *lease) {
	c.log("endpoint-replaced", "endpoint", l.ep.ID, "runs", len(l.runs))
	for _, r := range l.sortedRuns() {
		c.endRun(r, cornelwall.RunLapsed)
	}
	l.ep.lostUntil = c.now.Add(lostTime)
	c.release(l.ep)
}

// yield gives an endpoint up that another entry has taken. What runs there ends with the
// lease, or once the new holder says so; if it was ever offered to an entry, that one may
// have kept it, and its word decides.
func (c *Core) yield(l *lease) {
	c.log("endpoint-yielded", "endpoint", l.ep.ID, "fence", l.fence, "runs", len(l.runs))
	l.phase, l.yieldedAt = phaseYielded, c.now
	l.ep.lease, l.ep.free, l.ep.yielded = nil, c.now, c.now.Add(yieldTime)
	if !l.handTo.IsZero() {
		c.passOn(l, l.handTo, nil)
		return
	}
	if len(l.runs) > 0 {
		c.yielded = append(c.yielded, l)
	}
}

func (c *Core) checkYielded() {
	c.yielded = slices.DeleteFunc(c.yielded, func(l *lease) bool {
		if !l.lapsed(c.now, c.cfg.Limits.StopTime) || c.now.Sub(l.yieldedAt) < yieldPatience {
			return len(l.runs) == 0
		}
		for _, r := range l.sortedRuns() {
			c.endRun(r, cornelwall.RunLapsed)
		}
		return true
	})
}

// endYielded ends what the new holder of an endpoint has not kept.
func (c *Core) endYielded(from cornelwall.Incarnation, m *cornelwall.Taken) {
	for _, l := range c.yielded {
		if l.ep.ID == m.Endpoint && l.fence < m.Fence {
			c.passOn(l, from, m)
		}
	}
}

// handedOver ends the lease on an endpoint that another entry has taken.
func (c *Core) handedOver(ep *endpoint, from cornelwall.Incarnation, m *cornelwall.Taken) {
	l := ep.lease
	l.phase = phaseYielded
	ep.lease = nil
	c.passOn(l, from, m)
}

// passOn leaves the runs that another entry has kept to it and ends the others as the
// endpoint lists them. Without its word, all may have been kept.
func (c *Core) passOn(l *lease, to cornelwall.Incarnation, m *cornelwall.Taken) {
	for _, r := range l.sortedRuns() {
		if m != nil && !slices.Contains(m.Kept, r.id) {
			c.endRun(r, m.End(r.id))
			continue
		}
		withdrawn := r.state == runStopping
		l.remove(r)
		delete(c.runs, r.id)
		c.passed[r.id] = passedRun{to: to, at: c.now}
		if withdrawn {
			c.send(to, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{r.id}}})
		}
	}
}
