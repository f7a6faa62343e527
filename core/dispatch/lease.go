package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

const (
	leaseTime   = 600 * time.Millisecond // that a look or a start adds to a lease
	lookWait    = 300 * time.Millisecond // for which a look waits for an end
	lookLate    = 120 * time.Millisecond // after its wait, when a look is sent again
	lookRetry   = 100 * time.Millisecond // between looks at an endpoint that does not answer
	lookAgain   = 10 * time.Millisecond  // between looks that are sent to settle something
	ackDelay    = 500 * time.Millisecond // of ends at an endpoint that has become idle; mostly the next run comes first
	looksAtOnce = 4
	lostAfter   = 700 * time.Millisecond // without an answer, after which nothing starts there
	stopRepeat  = 80 * time.Millisecond  // between two stops of one run
	lapseSlack  = 30 * time.Millisecond
	// After yieldPatience the entry that took an endpoint has found and stopped what it
	// does not know: it looks each lookWait, and then lets the lease end.
	yieldPatience = lookWait + 2*lookLate + leaseTime
	// An endpoint's clock may be slow by this share.
	clockDrift = 0.02
	clockGrain = time.Millisecond // in which endpoints tell their clocks
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
	ep      *endpoint
	first   uint64 // fence with which it was taken
	fence   uint64
	phase   phase
	since   time.Time
	boot    int64  // names a life of the endpoint: a time of day, which may jump and tells no order
	oldLook uint64 // number of the last look that may have been answered by an earlier life

	clock   time.Duration // of the endpoint, at clockAt at the latest
	clockAt time.Time     // zero: not known
	until   time.Duration // latest end that any order gave the lease

	looks    int    // under way
	lastLook uint64 // number of the last look
	lookedAt time.Time
	asked    time.Time // first look that was sent since the last answer; zero if none
	answered time.Time // last answer to a look
	acked    int64     // greatest number of the ends taken in
	ackSent  int64
	endedAt  time.Time // when the last end was taken in

	runs      map[cornelwall.RunID]*run
	used      cornelwall.Resources
	ended     []cornelwall.RunResult // found while taking
	strangers map[cornelwall.RunID]time.Time

	from      cornelwall.Incarnation // who handed it on; zero if it was taken
	claimed   bool                   // another entry has asked for it
	handTo    cornelwall.Incarnation // to whom it was offered, without an answer yet
	handAt    time.Time
	offer     uint64 // number of the last offer
	handAcked int64  // greatest number of the ends taken in before it was offered
	yieldedAt time.Time
}

// keepable returns the runs that their owners have not withdrawn.
func (c *Core) keepable(runs []cornelwall.HandoverRun) []cornelwall.HandoverRun {
	return slices.DeleteFunc(slices.Clone(runs), func(h cornelwall.HandoverRun) bool {
		_, withdrawn := c.withdrawnRuns[h.RunID]
		return withdrawn
	})
}

// take begins to hold an endpoint. The runs given may go on; all others are stopped
// before the lease is extended.
func (c *Core) take(ep *endpoint, runs []cornelwall.HandoverRun) {
	fence := c.nextFence()
	l := &lease{
		ep: ep, first: fence, fence: fence, since: c.now, answered: c.now,
		runs: map[cornelwall.RunID]*run{}, strangers: map[cornelwall.RunID]time.Time{},
	}
	c.hold(ep, l)
	for i := range runs {
		h := &runs[i]
		r := &run{id: h.RunID, owner: h.Owner, receivedAt: c.now, startedAt: c.now.Add(-h.Age), endProofPoll: 1, state: runRunning}
		r.AssignTask = cornelwall.AssignTask{RunID: h.RunID, Need: h.Need, Estimate: h.Estimate}
		c.runs[r.id] = r
		delete(c.handedOffRuns, r.id) // it has come back
		l.add(r)
	}
	c.log("endpoint-taken", "endpoint", ep.ID, "fence", l.fence, "runs", len(runs))
	c.look(l, 0)
}

func (l *lease) add(r *run) {
	r.lease = l
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
	slices.SortFunc(list, func(a, b *run) int { return compareRun(a.id, b.id) })
	return list
}

func compareRun(a, b cornelwall.RunID) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
}

// clockLow returns a time that the endpoint's clock has surely reached.
func (l *lease) clockLow(now time.Time) time.Duration {
	since := now.Sub(l.clockAt)
	if since < 0 {
		return l.clock + since
	}
	return l.clock + time.Duration(float64(since)*(1-clockDrift))
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
		if r.state == runStopping && now.Sub(r.stopRequestedAt) > stopRepeat+lookAgain {
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

// checkLeases looks again where it is time, and ends what has lapsed.
func (c *Core) checkLeases() {
	for _, ep := range slices.Clone(c.held()) {
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
		return r.state == runStopping && c.now.Sub(r.lastStopSent) >= stopRepeat && !r.stopAcked
	}) {
		c.sendStop(r)
	}
}

// unsettled reports whether a run was stopped whose end only a new look can tell.
func (l *lease) unsettled() bool {
	for _, r := range l.runs {
		if r.stopAcked && r.endProofPoll > l.lastLook {
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
	if l.lapsed(c.now, c.cfg.Limits.StopDelay) && !l.handTo.IsZero() {
		c.log("lease-left", "endpoint", l.ep.ID, "runs", len(l.runs), "to", l.handTo)
		c.passOn(l, l.handTo, nil) // it may have taken over and extended the lease
	}
	if l.lapsed(c.now, c.cfg.Limits.StopDelay) {
		c.log("lease-lapsed", "endpoint", l.ep.ID, "runs", len(l.runs), "answered", c.now.Sub(l.answered))
		for _, r := range l.sortedRuns() {
			c.endRun(r, cornelwall.RunLapsed, endLeaseOver)
		}
	}
	if l.clockAt.IsZero() && l.silence(c.now) > c.longestDelay() {
		c.dropUnreached(l)
	}
	if l.silence(c.now) > lostAfter/2 {
		if p := c.peers[l.ep.other]; p != nil {
			c.link(p) // which may be offered the endpoint soon
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
		c.offerLost(l.ep, l.fence)
	}
}

// longestDelay is how long an order may be on its way, and what it started may run on.
func (c *Core) longestDelay() time.Duration { return withdrawalRetention + 2*c.cfg.Limits.MaxLease }

// dropUnreached gives up the runs at an endpoint that has been silent for so long that no order
// can be late any more. Its clock is not known, so that its lease tells nothing. Of runs that
// were handed to this entry, which never reached them, it says nothing.
func (c *Core) dropUnreached(l *lease) {
	c.log("endpoint-unreached", "endpoint", l.ep.ID, "runs", len(l.runs), "silent", l.silence(c.now))
	for _, r := range l.sortedRuns() {
		if l.boot != 0 {
			c.endRun(r, cornelwall.RunLapsed, endLeaseOver)
			continue
		}
		l.remove(r)
		delete(c.runs, r.id)
		c.withdrawnRuns[r.id] = c.now
	}
}

func (l *lease) lapsed(now time.Time, stop time.Duration) bool {
	return len(l.runs) > 0 && !l.clockAt.IsZero() && l.clockLow(now) > l.until+stop+lapseSlack
}
