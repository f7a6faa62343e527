package dispatch

import (
	"time"

	"cornelwall"
)

const (
	// catchUpMargin is the time before the start of a gap from which on cancellations may have been missed, as they may have
	// been acknowledged in the gap.
	catchUpMargin = 2*cancelWait + time.Second
	// catchUpGrace is the time for which an entry goes on after it was dropped from the list, has found the platform again
	// or has started.
	catchUpGrace = 500 * time.Millisecond
	// catchUpRefuseDelay is the time after which an entry that is not on the list refuses batches.
	catchUpRefuseDelay = time.Second
	// maxAskHold is the time for which an entry that can ask its peers starts nothing. Peers that are cut off do not
	// answer, and callers have to be served meanwhile.
	maxAskHold     = 150 * time.Millisecond
	catchUpTimeout = 300 * time.Millisecond // for a peer to answer
	catchUpAsks    = 2                      // peers that are asked at a time
	catchUpQuorum  = 2                      // answers of peers that have missed nothing themselves
	// catchUpReadDelay is the time after which an entry reads what the entries have stored, unless enough peers have answered. It
	// leaves time for the read before maxAskHold is over.
	catchUpReadDelay = 50 * time.Millisecond
	catchUpReadRetry = 500 * time.Millisecond // between the beginnings of two reads
)

// catchUpState holds whether this entry may have missed cancellations. It has confirmed those that were
// acknowledged while it was on the platform's list. If it was not, or may not have been, it asks its peers, and
// starts nothing until they have answered or maxAskHold has passed.
type catchUpState struct {
	caughtUp   bool
	missedFrom time.Time // cancellations since then may have been missed
	holdFrom   time.Time // nothing starts from then on until it has caught up
	lostAt     time.Time // when the gap was noticed
	askingAt   time.Time // when it first could ask its peers since it last had a reason to; zero if it could not
	selfListed bool      // this entry is on the platform's list
	listedAt   time.Time // when it was last seen there

	round    uint64                               // number of the present round of queries
	askedAt  map[cornelwall.Incarnation]time.Time // in this round
	answered map[cornelwall.Incarnation]bool      // in this round
	complete int                                  // answers in this round of peers that have missed nothing

	storeRead  bool      // in this round, the cancellations that entries have stored were read
	reading    bool      // such a read has not ended
	readSentAt time.Time // when it began
}

func newCatchUpState(now time.Time) catchUpState {
	return catchUpState{
		holdFrom: now.Add(catchUpGrace), lostAt: now, missedFrom: now.Add(-cancellationTTL),
		askedAt: map[cornelwall.Incarnation]time.Time{}, answered: map[cornelwall.Incarnation]bool{},
	}
}

// mustCatchUp reports whether this entry may have missed cancellations.
func (c *Core) mustCatchUp() bool { return c.keepsCancellations() && !c.caughtUp }

// catchingUp reports whether nothing may be assigned or started, as this entry may have missed the cancellation. Without
// the platform it goes on, as its peers do not wait for its confirmations then. If its peers do not answer, it goes
// on after maxAskHold, but acknowledges no cancellation before they have.
func (c *Core) catchingUp() bool {
	if !c.mustCatchUp() || !c.platformUp || c.now.Before(c.holdFrom) {
		return false
	}
	return c.askingAt.IsZero() || c.now.Sub(c.askingAt) < maxAskHold
}

// catchUpOverdue reports whether callers should not wait for this entry to catch up, as it is not on the list and
// cannot ask its peers.
func (c *Core) catchUpOverdue() bool {
	return c.catchingUp() && c.askingAt.IsZero() && c.now.Sub(c.holdFrom) > catchUpRefuseDelay
}

// noteMissed records that this entry may have missed cancellations, for a reason and since a time, and that
// it starts nothing from hold on until it has caught up.
func (c *Core) noteMissed(why string, since, hold time.Time) {
	if !c.keepsCancellations() {
		return
	}
	since = since.Add(-catchUpMargin)
	if c.caughtUp {
		c.caughtUp, c.missedFrom, c.lostAt, c.holdFrom, c.askingAt = false, since, c.now, hold, time.Time{}
		c.log("cancels-missed", "why", why, "since", c.now.Sub(since))
	}
	if !c.askingAt.IsZero() { // that it is on the list has to be read again
		if c.now.Sub(c.askingAt) >= maxAskHold {
			c.holdFrom = hold // the earlier hold has ended
		}
		c.askingAt = time.Time{}
	}
	if since.Before(c.missedFrom) {
		c.missedFrom = since
	}
	if hold.Before(c.holdFrom) {
		c.holdFrom = hold
	}
	c.round++
	clear(c.askedAt)
	clear(c.answered)
	c.complete = 0
	c.storeRead, c.reading = false, false
}

// graceAfterOutage lets this entry go on for catchUpGrace after the platform is back, while it registers again.
// Otherwise all entries would stop at once after an outage.
func (c *Core) graceAfterOutage() {
	if !c.listedAt.IsZero() {
		c.holdFrom = c.now.Add(catchUpGrace)
	}
}

// noteListed notes whether this entry is on the platform's list. An entry that makes a planned stop is not.
func (c *Core) noteListed(listed bool) {
	if listed {
		c.listedAt = c.now
	}
	c.announceStop()
	if listed == c.selfListed {
		return
	}
	c.selfListed = listed
	if c.isStopping() {
		return
	}
	c.log("entry-listed", "listed", listed)
	if !listed {
		c.noteMissed("unlisted", c.listedAt, c.now.Add(catchUpGrace))
	}
	c.catchUp()
}

// announceStop sends heartbeats to peers that were listed after this entry's planned stop began, as they don't find
// it on the list.
func (c *Core) announceStop() {
	if !c.isStopping() || !c.keepsCancellations() {
		return
	}
	for _, p := range c.peersByID {
		if p.listed && p.sentSeq == 0 {
			c.sendHeartbeats(p)
		}
	}
}

// catchUp asks peers for cancellations if some may have been missed, once this entry is on the list: from then
// on its peers wait for its confirmations. Unless two that have missed nothing answer, the platform's store is read too. It ends after cancellationTTL, when the missed ones have no effect any more.
func (c *Core) catchUp() {
	if c.catchUpOverdue() {
		c.returnBacklog() // others can start it
	}
	if !c.mustCatchUp() || !c.platformUp || !c.selfListed && !c.isStopping() {
		return
	}
	if c.askingAt.IsZero() {
		c.askingAt = c.now
	}
	open, asked := c.countCatchUpPeers()
	if open == 0 && c.storeRead || c.complete >= catchUpQuorum || c.now.Sub(c.askingAt) >= cancellationTTL {
		c.endCatchUp(open)
		return
	}
	c.readStoredCancellations(open)
	for ; asked < min(catchUpAsks, open); asked++ {
		p := c.pickCatchUpPeer()
		if p == nil {
			return
		}
		c.askedAt[p.id] = c.now
		c.send(p.id, cornelwall.Message{CancellationQuery: &cornelwall.CancellationQuery{Round: c.round, Since: min(c.now.Sub(c.missedFrom), cancellationTTL)}})
	}
}

// countCatchUpPeers returns how many peers have still to answer, and how many of them were asked within catchUpTimeout.
func (c *Core) countCatchUpPeers() (open, asked int) {
	for _, p := range c.peersByID {
		if !c.mustConfirm(p) || c.answered[p.id] {
			continue
		}
		open++
		if at, ok := c.askedAt[p.id]; ok && c.now.Sub(at) < catchUpTimeout {
			asked++
		}
	}
	return open, asked
}

// resumeCatchUp takes the catch-up up again when a peer is found that it has not asked, unless enough peers have answered that have
// missed nothing. An entry that starts while the others stop finds none of them on the list, and hears of them later.
func (c *Core) resumeCatchUp() {
	if !c.keepsCancellations() || !c.caughtUp || c.complete >= catchUpQuorum || c.now.Sub(c.lostAt) >= cancellationTTL {
		return
	}
	c.caughtUp, c.holdFrom, c.askingAt = false, c.now, time.Time{}
	c.catchUp()
}

// endCatchUp ends the catch-up, with a number of peers that have not answered.
func (c *Core) endCatchUp(open int) {
	c.caughtUp = true
	c.log("cancels-caught-up", "took", c.now.Sub(c.lostAt), "answers", len(c.answered), "complete", c.complete, "open", open, "read", c.storeRead, "cancelled", len(c.cancelled))
	c.backlogChanged = true
	c.answerCancellers()
}

// pickCatchUpPeer returns the peer to ask next, or nil. It prefers peers that were not asked yet, then those of the
// data centre whose turn it is, then those that answer heartbeats. One peer of this data centre and one of
// another are asked at a time, as either may not be reachable as a whole.
func (c *Core) pickCatchUpPeer() *peer {
	var open []*peer
	remote := false // whether the next one is of another data centre
	for i := range c.peersByID {
		p := c.peersByID[(i+int(c.nameHash%uint64(len(c.peersByID))))%len(c.peersByID)]
		if !c.mustConfirm(p) || c.answered[p.id] {
			continue
		}
		if at, asked := c.askedAt[p.id]; asked && c.now.Sub(at) < catchUpTimeout {
			remote = remote || c.isLocal(p)
			continue
		}
		open = append(open, p)
	}
	var best *peer
	for _, p := range open {
		if best == nil || c.isBetterCatchUpPeer(p, best, remote) {
			best = p
		}
	}
	return best
}

// isBetterCatchUpPeer reports whether to ask p rather than q, where remote prefers another data centre to this one.
func (c *Core) isBetterCatchUpPeer(p, q *peer, remote bool) bool {
	if a, b := c.askedAt[p.id], c.askedAt[q.id]; !a.Equal(b) {
		return a.Before(b)
	}
	if c.isLocal(p) != c.isLocal(q) {
		return c.isLocal(p) != remote
	}
	return c.isResponsive(p) && !c.isResponsive(q)
}

// isLocal reports whether a peer is of this entry's data centre.
func (c *Core) isLocal(p *peer) bool { return p.id.DataCentre == c.cfg.Self.DataCentre }

// handleCancellationQuery tells a peer which cancellations this entry knows of.
func (c *Core) handleCancellationQuery(from cornelwall.Incarnation, m *cornelwall.CancellationQuery) {
	if !c.keepsCancellations() {
		return
	}
	c.send(from, cornelwall.Message{CancellationAnswer: &cornelwall.CancellationAnswer{
		Round: m.Round, Complete: c.caughtUp && c.platformUp, List: c.cancellationsSince(m.Since),
	}})
}

// handleCancellationAnswer records the cancellations that a peer knows of.
func (c *Core) handleCancellationAnswer(from cornelwall.Incarnation, m *cornelwall.CancellationAnswer) {
	if !c.keepsCancellations() || !c.recordCancellations(m.List) {
		return
	}
	if m.Round != c.round || c.answered[from] || !c.mustCatchUp() {
		return
	}
	c.answered[from] = true
	if m.Complete {
		c.complete++
	}
	c.catchUp()
}
