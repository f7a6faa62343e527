package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/policy"
)

const (
	leaseTTL            = 600 * time.Millisecond // from a poll or a start to the end that it gives the lease
	pollWait            = 300 * time.Millisecond // for which a long poll waits for a run to end
	pollMargin          = 120 * time.Millisecond // after pollWait, when a poll without an answer is repeated
	pollRetryInterval   = 100 * time.Millisecond // between polls of an endpoint that does not answer
	confirmPollInterval = 10 * time.Millisecond  // between polls that are to confirm the end of a run
	// ackDelay is the time after which an idle endpoint is polled only to acknowledge ends. Mostly a
	// poll for the next run acknowledges them before.
	ackDelay           = 500 * time.Millisecond
	maxOpenPolls       = 4                      // polls of one endpoint under way at once
	unreachableTimeout = 700 * time.Millisecond // without an answer, after which nothing starts at an endpoint
	stopRetryInterval  = 80 * time.Millisecond  // between two stop orders for one run
	expiryMargin       = 30 * time.Millisecond  // after the latest end of a lease and StopDelay, before its runs count as ended
	// takeoverTimeout is the time within which an entry that has taken over an endpoint finds and
	// stops the runs that it does not know: it polls every pollWait, and lets the lease end if the
	// stops have no effect.
	takeoverTimeout = pollWait + 2*pollMargin + leaseTTL
	clockDrift      = 0.02             // share by which an endpoint's clock may run slow
	clockResolution = time.Millisecond // to which endpoints report their clocks
)

// LeaseTTL is how long the leases last that an entry asks for. Limits.MaxLease must allow it.
const LeaseTTL = leaseTTL

// leasePhase is the phase of a lease.
type leasePhase int

const (
	phaseAcquiring   leasePhase = iota // the runs at the endpoint are not all known yet
	phaseReady                         // tasks may start
	phaseUnreachable                   // the endpoint does not answer
	phaseOffered                       // offered to the next holder
	phaseSuperseded                    // another entry holds the endpoint
)

// lease is this entry's lease on an endpoint. Each order under it carries its fence, a fencing
// token.
type lease struct {
	ep            *endpoint
	addr          netip.AddrPort // where orders go; stays as it is for one boot, whatever the list names
	firstFence    uint64         // fence with which it was acquired
	fence         uint64         // current fence; rises when the endpoint restarts
	phase         leasePhase
	acquiredAt    time.Time
	boot          int64  // identifies the endpoint's start; a time of day, which may jump and gives no order
	lastStalePoll uint64 // number of the last poll that the endpoint may have answered before its last restart

	answered    *answeredBoot  // boot that has answered before, while none has at the address that is listed now; else nil
	refusedAddr netip.AddrPort // listed address where another endpoint has refused a poll for this one

	clock      time.Duration // reading of the endpoint's clock, taken at clockAt or before
	clockAt    time.Time     // zero if no reading is known
	latestEnd  time.Duration // latest end of the lease by any order, on the endpoint's clock
	extendedAt time.Time     // when the last order that extends the lease was sent

	openPolls       int    // polls under way
	lastPoll        uint64 // number of the last poll
	polledAt        time.Time
	unansweredSince time.Time // when the first poll since the last answer was sent; zero if none
	answeredAt      time.Time // last answer to a poll
	ackedEnd        int64     // greatest number of the ends that were processed
	ackedEndSent    int64     // the same, as sent with the last poll
	lastEndAt       time.Time // when the last end was processed

	runs      map[cornelwall.RunID]*run
	used      cornelwall.Resources
	endedRuns []cornelwall.RunResult         // ends that the endpoint listed during phaseAcquiring
	orphans   map[cornelwall.RunID]time.Time // runs there that this entry does not know, by the time of the last stop order

	handedOverBy      cornelwall.Incarnation // previous holder that handed it over; zero if there is none
	handedOverBoot    int64                  // boot at which the runs were that it handed over; 0 if not known
	handoverRequested bool                   // another entry has asked for the endpoint
	offeredTo         cornelwall.Incarnation // entry that it was offered to and that has not declined; zero if none
	offeredAt         time.Time
	lastOffer         uint64    // number of the last offer
	ackedEndAtOffer   int64     // ackedEnd as of the last offer
	supersededAt      time.Time // when the endpoint refused its fence
	leaveAnnounced    bool      // this boot has announced that it leaves
	suspectedAtPoll   uint64    // lastPoll when a crash was recorded
}

// answeredBoot is what a lease knows of a boot of its endpoint that has answered.
type answeredBoot struct {
	addr      netip.AddrPort
	boot      int64
	ackedEnd  int64
	clock     time.Duration
	clockAt   time.Time
	latestEnd time.Duration
}

// withoutWithdrawn returns the runs that their owners have not withdrawn, and whose batches are not cancelled.
func (c *Core) withoutWithdrawn(runs []cornelwall.HandoverRun) []cornelwall.HandoverRun {
	return slices.DeleteFunc(slices.Clone(runs), func(h cornelwall.HandoverRun) bool {
		_, withdrawn := c.withdrawnRuns[h.RunID]
		return withdrawn || c.isCancelled(cornelwall.BatchOf(h.Task))
	})
}

// acquire starts a lease on an endpoint. The given runs may continue; all others are stopped before
// the lease is extended.
func (c *Core) acquire(ep *endpoint, runs []cornelwall.HandoverRun) {
	fence := c.nextFence()
	l := &lease{
		ep: ep, addr: ep.Addr, firstFence: fence, fence: fence, acquiredAt: c.now, answeredAt: c.now,
		runs: map[cornelwall.RunID]*run{}, orphans: map[cornelwall.RunID]time.Time{},
	}
	c.setLease(ep, l)
	for i := range runs {
		h := &runs[i]
		r := &run{id: h.RunID, owner: h.Owner, receivedAt: c.now, startedAt: c.now.Add(-h.Age), endProofPoll: 1, state: runRunning, startAnswered: true}
		r.AssignTask = cornelwall.AssignTask{RunID: h.RunID, Need: h.Need, Estimate: h.Estimate}
		c.runs[r.id] = r
		delete(c.transferredRuns, r.id) // in case this entry handed it over before
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

// filterRuns returns the runs that match, in a stable order.
func filterRuns(runs map[cornelwall.RunID]*run, match func(*run) bool) []*run {
	var list []*run
	for _, r := range runs {
		if match(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int { return compareRunID(a.id, b.id) })
	return list
}

func compareRunID(a, b cornelwall.RunID) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
}

// minClock returns a lower bound of the endpoint's clock at a time.
func (l *lease) minClock(now time.Time) time.Duration {
	since := now.Sub(l.clockAt)
	if since < 0 {
		return l.clock + since
	}
	return l.clock + time.Duration(float64(since)*(1-clockDrift))
}

// extend returns the new end of the lease, on the endpoint's clock, and records it. It returns 0,
// which extends nothing, if that clock is not known.
func (l *lease) extend(now time.Time) time.Duration {
	if l.clockAt.IsZero() {
		return 0
	}
	until := l.clock + now.Sub(l.clockAt) + leaseTTL
	l.latestEnd, l.extendedAt = max(l.latestEnd, until), now
	return until
}

// mustExpire reports whether the lease must not be extended: an orphan runs, or a run for which
// stop orders have had no effect.
func (l *lease) mustExpire(now time.Time) bool {
	if len(l.orphans) > 0 {
		return true
	}
	for _, r := range l.runs {
		if r.state == runStopping && now.Sub(r.stopRequestedAt) > stopRetryInterval+confirmPollInterval {
			return true
		}
	}
	return false
}

// target returns the endpoint as orders under the lease are sent to it.
func (l *lease) target() cornelwall.Endpoint {
	to := l.ep.Endpoint
	to.Addr = l.addr
	return to
}

// knowsKind reports whether the record of the endpoint is that of the boot that answers the polls. If
// not, nothing in it holds: its service, capacity and labels may be others since it has restarted.
func (l *lease) knowsKind() bool { return l.ep.Boot == 0 || l.ep.Boot == l.boot }

// unansweredFor returns for how long polls have got no answer.
func (l *lease) unansweredFor(now time.Time) time.Duration {
	if l.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(l.unansweredSince)
}

// leaseForFence returns the lease under which an order with the fence was sent, or nil if this
// entry no longer has it.
func (c *Core) leaseForFence(id string, fence uint64) *lease {
	ep := c.endpoints[id]
	if ep == nil || ep.lease == nil || fence < ep.lease.firstFence || fence > ep.lease.fence {
		return nil
	}
	return ep.lease
}

// updateClock records a reading of the endpoint's clock. How far an earlier holder has extended the
// lease is not known, so that with the first reading its latest end is the longest that is
// possible.
func (c *Core) updateClock(l *lease, clock time.Duration) {
	if l.clockAt.IsZero() {
		l.latestEnd = max(l.latestEnd, clock+c.cfg.Limits.MaxLease)
	}
	if clock >= l.clock || l.clockAt.IsZero() {
		l.clock, l.clockAt = clock, c.now
	}
}

// checkLeases polls where a poll is due, ends the runs of expired leases and stops stragglers.
func (c *Core) checkLeases() {
	for _, ep := range slices.Clone(c.held()) {
		c.pollIfDue(ep.lease)
		if ep.lease != nil {
			c.checkLease(ep.lease)
		}
		if ep.lease != nil {
			c.abandonUnansweredStarts(ep.lease)
			c.stopStragglers(ep.lease)
		}
	}
	c.expireSuperseded()
}

// pollIfDue sends the poll that is due, if any, and repeats stop orders that the endpoint has not
// acknowledged.
func (c *Core) pollIfDue(l *lease) {
	since := c.now.Sub(l.polledAt)
	switch {
	case l.openPolls >= maxOpenPolls:
	case l.phase == phaseAcquiring || l.phase == phaseUnreachable:
		if l.openPolls == 0 && since >= confirmPollInterval && len(l.orphans) > 0 || since >= pollRetryInterval {
			c.poll(l, 0)
		}
	case len(l.runs) > 0:
		if l.openPolls == 0 || since >= pollWait+pollMargin || l.unansweredFor(c.now) > pollWait+pollMargin && since >= pollRetryInterval {
			c.poll(l, pollWait)
		} else if l.hasUnconfirmedStop() && since >= confirmPollInterval || l.wantsProgress(c.now) && since >= policy.MinProgressSpan {
			c.poll(l, 0)
		}
	case l.ackedEnd > l.ackedEndSent && l.openPolls == 0 && c.now.Sub(l.lastEndAt) >= ackDelay:
		c.poll(l, 0)
	}
	if l.phase == phaseReady && len(l.orphans) > 0 && l.openPolls == 0 && since >= confirmPollInterval {
		c.poll(l, 0)
	}
	if l.phase == phaseReady && l.openPolls == 0 && since >= pollRetryInterval && c.awaitsSettling(l) {
		c.poll(l, 0)
	}
	for _, r := range filterRuns(l.runs, func(r *run) bool {
		return r.state == runStopping && c.now.Sub(r.lastStopSent) >= stopRetryInterval && !r.stopAcked
	}) {
		c.sendStop(r)
	}
}

// hasUnconfirmedStop reports whether the endpoint has acknowledged a stop and only a poll that is
// still to be sent can confirm that the run has ended.
func (l *lease) hasUnconfirmedStop() bool {
	for _, r := range l.runs {
		if r.stopAcked && r.endProofPoll > l.lastPoll {
			return true
		}
	}
	return false
}

// checkLease acts on the timeouts of a lease. An endpoint whose offer was not accepted in time is
// used again. Once the lease has certainly expired, its runs are ended or, if the endpoint is on
// offer, transferred to the entry that it was offered to. An endpoint that does not answer becomes
// unreachable, and is released once nothing runs there.
func (c *Core) checkLease(l *lease) {
	c.followRecord(l)
	if l.phase == phaseOffered && c.now.Sub(l.offeredAt) > handoverTimeout {
		l.phase = phaseReady
		c.log("handover-timeout", "endpoint", l.ep.ID, "to", l.offeredTo)
	}
	if l.hasExpired(c.now, c.cfg.Limits.StopDelay) && !l.offeredTo.IsZero() {
		c.log("lease-left", "endpoint", l.ep.ID, "runs", len(l.runs), "to", l.offeredTo)
		c.transferRuns(l, l.offeredTo, nil) // that entry may have taken over and extended the lease
	}
	if l.hasExpired(c.now, c.cfg.Limits.StopDelay) {
		c.endLapsedRuns(l)
	}
	if l.clockAt.IsZero() && l.unansweredFor(c.now) > c.maxOrderLifetime() {
		c.dropUnreachableRuns(l)
	}
	if l.unansweredFor(c.now) > unreachableTimeout/2 {
		if p := c.peers[l.ep.alternate]; p != nil {
			c.useLink(p) // it may be offered the endpoint soon
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

// endLapsedRuns ends the runs of a lease that has expired. The endpoint may have restarted without an
// answer since, and may carry out a start under its new clock, on which the lease that the start
// asks for is not over and is cut to the longest one. A run whose start got no answer is therefore
// kept until that has ended too.
func (c *Core) endLapsedRuns(l *lease) {
	c.recordSilentCrash(l)
	longest := time.Duration(float64(c.cfg.Limits.MaxLease)/(1-clockDrift)) + c.cfg.Limits.StopDelay + expiryMargin
	lapsed := filterRuns(l.runs, func(r *run) bool {
		return r.startAnswered || c.now.Sub(l.extendedAt) >= longest
	})
	if len(lapsed) == 0 {
		return
	}
	c.log("lease-lapsed", "endpoint", l.ep.ID, "runs", len(lapsed), "answered", c.now.Sub(l.answeredAt))
	for _, r := range lapsed {
		c.endRun(r, cornelwall.RunLapsed, endLeaseOver)
	}
}

// maxOrderLifetime bounds the time from sending an order to the end of the run that it starts: how
// long the order may be in transit, and how long the run may then last.
func (c *Core) maxOrderLifetime() time.Duration { return withdrawalRetention + 2*c.cfg.Limits.MaxLease }

// dropUnreachableRuns removes the runs at an endpoint that has not answered for so long that no
// order can take effect any more, and reports them as lapsed. As its clock is not known, neither is
// the end of the lease. If its boot is not known either, the runs were handed over to this entry,
// which has never reached the endpoint and reports no ends.
func (c *Core) dropUnreachableRuns(l *lease) {
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

// hasExpired reports whether the lease has runs and has certainly expired, at least stopDelay ago,
// so that the endpoint has stopped the runs.
func (l *lease) hasExpired(now time.Time, stopDelay time.Duration) bool {
	return len(l.runs) > 0 && !l.clockAt.IsZero() && l.minClock(now) > l.latestEnd+stopDelay+expiryMargin
}
