package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

const (
	leaseTTL           = 600 * time.Millisecond // that a look or a start adds to a lease
	pollWait           = 300 * time.Millisecond // for which a look waits for an end
	pollMargin         = 120 * time.Millisecond // after its wait, when a look is sent again
	pollRetryInterval  = 100 * time.Millisecond // between looks at an endpoint that does not answer
	settlePollInterval = 10 * time.Millisecond  // between looks that are sent to settle something
	ackDelay           = 500 * time.Millisecond // of ends at an endpoint that has become idle; mostly the next run comes first
	maxOpenPolls       = 4
	unreachableTimeout = 700 * time.Millisecond // without an answer, after which nothing starts there
	stopRetryInterval  = 80 * time.Millisecond  // between two stops of one run
	lapseMargin        = 30 * time.Millisecond
	// After yieldPatience the entry that took an endpoint has found and stopped what it
	// does not know: it looks each lookWait, and then lets the lease end.
	takeoverTimeout = pollWait + 2*pollMargin + leaseTTL
	// An endpoint's clock may be slow by this share.
	clockDrift      = 0.02
	clockResolution = time.Millisecond // in which endpoints tell their clocks
)

// leasePhase is how far a lease is.
type leasePhase int

const (
	phaseAcquiring   leasePhase = iota // it is not known yet what runs there
	phaseReady                         // tasks may start
	phaseUnreachable                   // the endpoint does not answer
	phaseOffered                       // offered to the next holder
	phaseSuperseded                    // another entry holds the endpoint
)

// lease is this entry's hold on an endpoint.
type lease struct {
	ep            *endpoint
	firstFence    uint64 // fence with which it was taken
	fence         uint64
	phase         leasePhase
	acquiredAt    time.Time
	boot          int64  // names a life of the endpoint: a time of day, which may jump and tells no order
	lastStalePoll uint64 // number of the last look that may have been answered by an earlier life

	clock     time.Duration // of the endpoint, at clockAt at the latest
	clockAt   time.Time     // zero: not known
	latestEnd time.Duration // latest end that any order gave the lease

	openPolls       int    // under way
	lastPoll        uint64 // number of the last look
	polledAt        time.Time
	unansweredSince time.Time // first look that was sent since the last answer; zero if none
	answeredAt      time.Time // last answer to a look
	acked           int64     // greatest number of the ends taken in
	ackSent         int64
	lastEndAt       time.Time // when the last end was taken in

	runs      map[cornelwall.RunID]*run
	used      cornelwall.Resources
	endedRuns []cornelwall.RunResult // found while taking
	orphans   map[cornelwall.RunID]time.Time

	handedOverBy      cornelwall.Incarnation // who handed it on; zero if it was taken
	handoverRequested bool                   // another entry has asked for it
	offeredTo         cornelwall.Incarnation // to whom it was offered, without an answer yet
	offeredAt         time.Time
	lastOffer         uint64 // number of the last offer
	ackedAtOffer      int64  // greatest number of the ends taken in before it was offered
	supersededAt      time.Time
}

// withoutWithdrawn returns the runs that their owners have not withdrawn.
func (c *Core) withoutWithdrawn(runs []cornelwall.HandoverRun) []cornelwall.HandoverRun {
	return slices.DeleteFunc(slices.Clone(runs), func(h cornelwall.HandoverRun) bool {
		_, withdrawn := c.withdrawnRuns[h.RunID]
		return withdrawn
	})
}

// acquire begins to hold an endpoint. The runs given may go on; all others are stopped
// before the lease is extended.
func (c *Core) acquire(ep *endpoint, runs []cornelwall.HandoverRun) {
	fence := c.nextFence()
	l := &lease{
		ep: ep, firstFence: fence, fence: fence, acquiredAt: c.now, answeredAt: c.now,
		runs: map[cornelwall.RunID]*run{}, orphans: map[cornelwall.RunID]time.Time{},
	}
	c.setLease(ep, l)
	for i := range runs {
		h := &runs[i]
		r := &run{id: h.RunID, owner: h.Owner, receivedAt: c.now, startedAt: c.now.Add(-h.Age), endProofPoll: 1, state: runRunning}
		r.AssignTask = cornelwall.AssignTask{RunID: h.RunID, Need: h.Need, Estimate: h.Estimate}
		c.runs[r.id] = r
		delete(c.transferredRuns, r.id) // it has come back
		l.addRun(r)
	}
	c.log("endpoint-taken", "endpoint", ep.ID, "fence", l.fence, "runs", len(runs))
	c.poll(l, 0)
}

func (l *lease) addRun(r *run) {
	r.lease = l
	l.runs[r.id] = r
	l.used = l.used.Plus(r.Need)
}

func (l *lease) removeRun(r *run) {
	if _, ok := l.runs[r.id]; ok {
		delete(l.runs, r.id)
		l.used = l.used.Minus(r.Need)
	}
}

func (l *lease) sortedRuns() []*run { return filterRuns(l.runs, func(*run) bool { return true }) }

// filterRuns returns the runs that fit, in a stable order.
func filterRuns(runs map[cornelwall.RunID]*run, fits func(*run) bool) []*run {
	var list []*run
	for _, r := range runs {
		if fits(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int { return compareRunID(a.id, b.id) })
	return list
}

func compareRunID(a, b cornelwall.RunID) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
}

// minClock returns a time that the endpoint's clock has surely reached.
func (l *lease) minClock(now time.Time) time.Duration {
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
	until := l.clock + now.Sub(l.clockAt) + leaseTTL
	l.latestEnd = max(l.latestEnd, until)
	return until
}

// mustLapse reports whether something runs that must not, and a stop has gone without effect,
// so that the lease must end.
func (l *lease) mustLapse(now time.Time) bool {
	if len(l.orphans) > 0 {
		return true
	}
	for _, r := range l.runs {
		if r.state == runStopping && now.Sub(r.stopRequestedAt) > stopRetryInterval+settlePollInterval {
			return true
		}
	}
	return false
}

// unansweredFor returns how long looks have gone without an answer.
func (l *lease) unansweredFor(now time.Time) time.Duration {
	if l.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(l.unansweredSince)
}

// leaseForFence returns the lease under which an order with the fence was sent, if it holds.
func (c *Core) leaseForFence(id string, fence uint64) *lease {
	ep := c.endpoints[id]
	if ep == nil || ep.lease == nil || fence < ep.lease.firstFence || fence > ep.lease.fence {
		return nil
	}
	return ep.lease
}

// updateClock takes the endpoint's clock. What an earlier holder did to the lease is not
// known, so that at first it may last as long as any.
func (c *Core) updateClock(l *lease, clock time.Duration) {
	if l.clockAt.IsZero() {
		l.latestEnd = max(l.latestEnd, clock+c.cfg.Limits.MaxLease)
	}
	if clock >= l.clock || l.clockAt.IsZero() {
		l.clock, l.clockAt = clock, c.now
	}
}

// checkLeases looks again where it is time, and ends what has lapsed.
func (c *Core) checkLeases() {
	for _, ep := range slices.Clone(c.held()) {
		c.pollIfDue(ep.lease)
		if ep.lease != nil {
			c.checkLapse(ep.lease)
		}
		if ep.lease != nil {
			c.stopStragglers(ep.lease)
		}
	}
	c.expireSuperseded()
}

// pollIfDue sends the look that is due, if any.
func (c *Core) pollIfDue(l *lease) {
	since := c.now.Sub(l.polledAt)
	switch {
	case l.openPolls >= maxOpenPolls:
	case l.phase == phaseAcquiring || l.phase == phaseUnreachable:
		if l.openPolls == 0 && since >= settlePollInterval && len(l.orphans) > 0 || since >= pollRetryInterval {
			c.poll(l, 0)
		}
	case len(l.runs) > 0:
		if l.openPolls == 0 || since >= pollWait+pollMargin || l.unansweredFor(c.now) > pollWait+pollMargin && since >= pollRetryInterval {
			c.poll(l, pollWait)
		} else if l.hasUnsettledStop() && since >= settlePollInterval {
			c.poll(l, 0)
		}
	case l.acked > l.ackSent && l.openPolls == 0 && c.now.Sub(l.lastEndAt) >= ackDelay:
		c.poll(l, 0)
	}
	if l.phase == phaseReady && len(l.orphans) > 0 && l.openPolls == 0 && since >= settlePollInterval {
		c.poll(l, 0)
	}
	for _, r := range filterRuns(l.runs, func(r *run) bool {
		return r.state == runStopping && c.now.Sub(r.lastStopSent) >= stopRetryInterval && !r.stopAcked
	}) {
		c.sendStop(r)
	}
}

// hasUnsettledStop reports whether a run was stopped whose end only a new look can tell.
func (l *lease) hasUnsettledStop() bool {
	for _, r := range l.runs {
		if r.stopAcked && r.endProofPoll > l.lastPoll {
			return true
		}
	}
	return false
}

// checkLapse ends what ran under a lease that has surely ended.
func (c *Core) checkLapse(l *lease) {
	if l.phase == phaseOffered && c.now.Sub(l.offeredAt) > handoverTimeout {
		l.phase = phaseReady
		c.log("handover-timeout", "endpoint", l.ep.ID, "to", l.offeredTo)
	}
	if l.lapsed(c.now, c.cfg.Limits.StopDelay) && !l.offeredTo.IsZero() {
		c.log("lease-left", "endpoint", l.ep.ID, "runs", len(l.runs), "to", l.offeredTo)
		c.transferRuns(l, l.offeredTo, nil) // it may have taken over and extended the lease
	}
	if l.lapsed(c.now, c.cfg.Limits.StopDelay) {
		c.log("lease-lapsed", "endpoint", l.ep.ID, "runs", len(l.runs), "answered", c.now.Sub(l.answeredAt))
		for _, r := range l.sortedRuns() {
			c.endRun(r, cornelwall.RunLapsed, endLeaseOver)
		}
	}
	if l.clockAt.IsZero() && l.unansweredFor(c.now) > c.maxOrderLifetime() {
		c.dropUnreachable(l)
	}
	if l.unansweredFor(c.now) > unreachableTimeout/2 {
		if p := c.peers[l.ep.alternate]; p != nil {
			c.useLink(p) // which may be offered the endpoint soon
		}
	}
	if l.unansweredFor(c.now) <= unreachableTimeout {
		return
	}
	if l.phase == phaseReady {
		l.phase = phaseUnreachable
		c.log("endpoint-lost", "endpoint", l.ep.ID, "silent", l.unansweredFor(c.now))
	}
	if len(l.runs) == 0 {
		l.ep.unreachableUntil = c.now.Add(unreachableBackoff)
		c.release(l.ep)
		c.offerUnreachable(l.ep, l.fence)
	}
}

// maxOrderLifetime is how long an order may be on its way, and what it started may run on.
func (c *Core) maxOrderLifetime() time.Duration { return withdrawalRetention + 2*c.cfg.Limits.MaxLease }

// dropUnreachable gives up the runs at an endpoint that has been silent for so long that no order
// can be late any more. Its clock is not known, so that its lease tells nothing. Of runs that
// were handed to this entry, which never reached them, it says nothing.
func (c *Core) dropUnreachable(l *lease) {
	c.log("endpoint-unreached", "endpoint", l.ep.ID, "runs", len(l.runs), "silent", l.unansweredFor(c.now))
	for _, r := range l.sortedRuns() {
		if l.boot != 0 {
			c.endRun(r, cornelwall.RunLapsed, endLeaseOver)
			continue
		}
		l.removeRun(r)
		delete(c.runs, r.id)
		c.withdrawnRuns[r.id] = c.now
	}
}

func (l *lease) lapsed(now time.Time, stop time.Duration) bool {
	return len(l.runs) > 0 && !l.clockAt.IsZero() && l.minClock(now) > l.latestEnd+stop+lapseMargin
}
