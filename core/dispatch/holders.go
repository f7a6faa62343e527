package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

const (
	minHoldTime      = time.Second             // for which an endpoint is held before it is offered without a request
	handoverTimeout  = 250 * time.Millisecond  // for the next holder to take over an endpoint
	offerTTL         = 2500 * time.Millisecond // of an offer to an entry that has died, from when it was last heard
	offerInterval    = time.Second             // between two offers of one endpoint
	maxOffersPerTick = 4                       // endpoints that are offered in one tick
	fencesPerMilli   = 1 << 10                 // fences per millisecond
	fenceJump        = 3000 * fencesPerMilli   // added when an endpoint has seen a higher fence: as many as three seconds have
	// maxFenceDoublings is how often fenceJump doubles while an endpoint refuses one fence after the other.
	maxFenceDoublings = 5
)

// isEligible reports whether a peer may be a holder of endpoints.
func (c *Core) isEligible(p *peer) bool { return c.isAlive(p) && !p.leaving }

// updateRanking determines the preferred and the alternate holder of each endpoint again if the set
// of eligible entries has changed.
func (c *Core) updateRanking() {
	digest := c.nameHash
	if c.isStopping() {
		digest = 0
	}
	for _, p := range c.peersByID {
		if c.isEligible(p) {
			digest ^= p.idHash + uint64(p.weight)
		}
	}
	if digest == c.ranking.digest {
		return
	}
	all := make([]member, 0, len(c.peersByID)+1)
	self := member{c.cfg.Self, c.nameHash, c.cfg.Weight}
	selfAdded := c.isStopping() // a stopping entry is left out
	for _, p := range c.peersByID {
		if !selfAdded && c.cfg.Self.Compare(p.id) < 0 {
			all, selfAdded = append(all, self), true
		}
		if c.isEligible(p) {
			all = append(all, member{p.id, p.hash, p.weight})
		}
	}
	if !selfAdded {
		all = append(all, self)
	}
	c.ranking, c.rankedAt = newRanking(all, c.cfg.Self), c.now
	c.ranking.digest = digest
	for _, ep := range c.endpointsByName {
		c.rankEndpoint(ep)
	}
}

// rankEndpoint determines the preferred and the alternate holder of an endpoint.
func (c *Core) rankEndpoint(ep *endpoint) {
	before := ep.preferred
	ep.preferred, ep.alternate = c.ranking.holders(ep, c.cfg.Self)
	switch {
	case ep.preferred != c.cfg.Self:
		c.preferredEndpoints = slices.DeleteFunc(c.preferredEndpoints, func(m *endpoint) bool { return m == ep })
	case !slices.Contains(c.preferredEndpoints, ep):
		c.preferredEndpoints = append(c.preferredEndpoints, ep)
		ep.freeSince, ep.requestedAt, ep.presumedHolder, ep.redirects = c.now, time.Time{}, before, 0
	}
	if ep.preferred == c.cfg.Self && !c.settled() {
		ep.presumedHolder = ep.alternate // which presumably held it before this entry started
	}
}

// targetHolder returns the entry that should hold an endpoint now: the preferred holder, or the
// alternate one if this entry stops or cannot reach the endpoint. It is of the endpoint's data
// centre if that has such entries.
func (c *Core) targetHolder(ep *endpoint) cornelwall.Incarnation {
	if c.isStopping() || c.now.Before(ep.unreachableUntil) {
		return ep.alternate
	}
	return ep.preferred
}

// reconcileHolders offers held endpoints to their target holders, and acquires or requests the
// endpoints of which this entry is the preferred holder.
func (c *Core) reconcileHolders() {
	offers := 0
	for _, ep := range slices.Clone(c.heldEndpoints) {
		if offers < maxOffersPerTick && c.offerHandover(ep) {
			offers++
		}
	}
	requests := map[cornelwall.Incarnation][]string{}
	for _, ep := range c.preferredEndpoints {
		if ep.lease == nil {
			c.acquireFree(ep, requests)
		}
	}
	for _, p := range c.peersByID {
		if ids := requests[p.id]; ids != nil {
			c.useLink(p)
			c.send(p.id, cornelwall.Message{HandoverRequest: &cornelwall.HandoverRequest{Endpoints: ids}})
		}
	}
	c.removeGoneEndpoints()
}

// offerHandover offers an endpoint, with the runs there, to the entry that should hold it, and
// reports whether it did.
func (c *Core) offerHandover(ep *endpoint) bool {
	l := ep.lease
	if l.phase != phaseReady || c.offerPending(l) {
		return false
	}
	to := c.targetHolder(ep)
	p := c.peers[to]
	if p == nil || !c.isStopping() && (!l.handoverRequested && c.now.Sub(l.acquiredAt) < minHoldTime || c.now.Sub(l.offeredAt) < offerInterval) {
		return false
	}
	c.useLink(p)
	if !c.isResponsive(p) || p.sentSeq == 0 {
		return false
	}
	c.lastOffer++
	m := &cornelwall.Handover{Session: p.theirSession, Endpoint: l.target(), Fence: l.fence, Boot: cmp.Or(l.boot, l.handedOverBoot), Offer: c.lastOffer, AckedSeq: p.receivedSeq}
	for _, r := range l.sortedRuns() {
		if r.state == runStopping {
			continue // the next holder stops the runs that are not in the offer
		}
		m.Runs = append(m.Runs, cornelwall.HandoverRun{
			RunID: r.id, Owner: r.owner, Need: r.Need, Estimate: r.Estimate, Age: c.now.Sub(r.startedAt), ProofAge: c.proofAge(r),
		})
	}
	c.reportSpeed(ep, m)
	l.phase, l.offeredTo, l.offeredAt, l.ackedEndAtOffer, l.lastOffer = phaseOffered, to, c.now, l.ackedEnd, c.lastOffer
	c.log("endpoint-handed", "endpoint", ep.ID, "to", to, "fence", l.fence, "runs", len(m.Runs))
	c.send(to, cornelwall.Message{Handover: m})
	return true
}

// handleHandover takes over an endpoint that its holder offers, or declines the offer.
func (c *Core) handleHandover(from cornelwall.Incarnation, m *cornelwall.Handover) {
	c.highestFence = max(c.highestFence, m.Fence)
	if c.endpoints[m.Endpoint.ID] == nil || m.Endpoint.Revision > 0 {
		c.setEndpoint(&m.Endpoint, c.listRev)
	}
	ep := c.endpoints[m.Endpoint.ID]
	if l := ep.lease; l != nil && l.handedOverBy == from && l.firstFence > m.Fence {
		return // repeated, and already accepted
	}
	if last, ok := ep.declinedOffers[from]; ok && m.Offer <= last || c.mustDecline(ep, from, m) {
		c.declineOffer(ep, from, m.Offer)
		return
	}
	c.takeSpeed(ep, m)
	c.acquire(ep, c.withoutUnproven(c.peers[from], m, c.withoutWithdrawn(m.Runs)))
	ep.lease.handedOverBy, ep.lease.handedOverBoot = from, m.Boot
	c.inheritProofs(ep.lease, c.peers[from], m)
}

// mustDecline reports whether this entry can't take over an endpoint that is offered to it.
func (c *Core) mustDecline(ep *endpoint, from cornelwall.Incarnation, m *cornelwall.Handover) bool {
	moved := len(m.Runs) > 0 && ep.Addr != m.Endpoint.Addr // the endpoint list of one of the two entries is out of date
	p := c.peers[from]
	return ep.lease != nil || moved || c.isStopping() || !c.knowsEvacuations() || c.now.Before(ep.unreachableUntil) || !c.hasProof(p) || p.session != m.Session
}

// declineOffer declines an offer, for good: it may have been sent twice, and the entry that made it goes on as
// the holder after the first answer.
func (c *Core) declineOffer(ep *endpoint, from cornelwall.Incarnation, offer uint64) {
	if ep.declinedOffers == nil {
		ep.declinedOffers = map[cornelwall.Incarnation]uint64{}
	}
	ep.declinedOffers[from] = max(ep.declinedOffers[from], offer)
	c.send(from, cornelwall.Message{HandoverDecline: &cornelwall.HandoverDecline{Endpoint: ep.ID, Offer: offer}})
}

// offerUnreachable offers an endpoint that does not answer this entry, and on which nothing runs,
// to its alternate holder, which may be able to reach it.
func (c *Core) offerUnreachable(ep *endpoint, fence uint64) {
	p := c.peers[ep.alternate]
	if p == nil || !c.isResponsive(p) {
		return
	}
	c.lastOffer++
	ep.presumedHolder = p.id
	m := &cornelwall.Handover{Session: p.theirSession, Endpoint: ep.Endpoint, Fence: fence, Offer: c.lastOffer}
	c.reportSpeed(ep, m)
	c.send(p.id, cornelwall.Message{Handover: m})
}

// handleHandoverDecline keeps an endpoint whose offer was declined. If a request was
// declined, the entry that the sender named, if any, is the presumed holder from now on.
func (c *Core) handleHandoverDecline(from cornelwall.Incarnation, m *cornelwall.HandoverDecline) {
	ep := c.endpoints[m.Endpoint]
	if ep == nil {
		return
	}
	l := ep.lease
	if l == nil && ep.presumedHolder == from {
		ep.presumedHolder, ep.requestedAt = cornelwall.Incarnation{}, time.Time{}
		if m.Holder != nil && *m.Holder != c.cfg.Self && ep.redirects < maxRedirects {
			ep.redirects++
			ep.presumedHolder = *m.Holder
		}
	}
	if l == nil || l.offeredTo != from || l.lastOffer != m.Offer {
		return
	}
	c.log("handover-declined", "endpoint", ep.ID, "by", from)
	l.offeredTo = cornelwall.Incarnation{}
	if l.phase == phaseOffered {
		l.phase = phaseReady
	}
}

// offerPending reports whether an endpoint was offered to an entry that may still take it over.
func (c *Core) offerPending(l *lease) bool {
	if l.offeredTo.IsZero() {
		return false
	}
	p := c.peers[l.offeredTo]
	return p != nil && (!p.dead || c.now.Sub(p.heardAt) < offerTTL)
}

// nextFence returns a fence above all that this entry knows of. Its remainder modulo fencesPerMilli
// comes from the entry's name, so that entries that acquire an endpoint in the same millisecond
// draw different fences, but for hash collisions.
func (c *Core) nextFence() uint64 {
	own := c.nameHash % fencesPerMilli
	fence := uint64(c.now.UnixMilli())*fencesPerMilli + own
	for fence <= c.highestFence {
		fence += fencesPerMilli
	}
	c.highestFence = fence
	return fence
}

// handleEndpointAcquired processes the announcement of the entry that holds an endpoint from now
// on.
func (c *Core) handleEndpointAcquired(from cornelwall.Incarnation, m *cornelwall.EndpointAcquired) {
	c.highestFence = max(c.highestFence, m.Fence)
	if from != c.cfg.Self {
		p := c.peers[from]
		if p.session != m.Session {
			return // delayed: the endpoint may have restarted since, and have forgotten the fence
		}
		ep := c.endpoints[m.Endpoint]
		if ep != nil && ep.lease != nil && ep.lease.fence < m.Fence {
			c.completeHandover(ep, from, m)
		}
		if ep != nil && ep.lease == nil {
			ep.presumedHolder, ep.requestedAt = from, time.Time{}
		}
		c.transferSupersededRuns(from, m)
	}
	c.endTransferredRuns(m)
	for i := range m.Ended {
		c.handleRunResult(&m.Ended[i])
	}
	c.updateTaskHolders(from, m)
}
