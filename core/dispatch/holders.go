package dispatch

import (
	"slices"
	"time"

	"cornelwall"
)

const (
	keepTime    = time.Second             // for which an endpoint is held before it is handed on
	handTimeout = 250 * time.Millisecond  // for the next holder to take over
	offerLife   = 2500 * time.Millisecond // of an offer to an entry that died since
	handPause   = time.Second             // between two offers of one endpoint
	handsAtOnce = 4                       // endpoints that are handed on in one tick
	fenceSpread = 1 << 10                 // fences that one millisecond has
	fenceJump   = 3000 * fenceSpread      // added when an endpoint knows a higher fence: three seconds
)

// mayHold reports whether a peer is one of the entries that endpoints go to.
func (c *Core) mayHold(p *peer) bool { return c.alive(p) && !p.leaving }

// rankMembers works out anew who should hold which endpoint if the entries that may have
// changed.
func (c *Core) rankMembers() {
	digest := c.nameHash
	if c.isStopping() {
		digest = 0
	}
	for _, p := range c.peersByID {
		if c.mayHold(p) {
			digest ^= p.key + uint64(p.weight)
		}
	}
	if digest == c.ranking.digest {
		return
	}
	all := make([]member, 0, len(c.peersByID)+1)
	self := member{c.cfg.Self, c.nameHash, c.cfg.Weight}
	placed := c.isStopping()
	for _, p := range c.peersByID {
		if !placed && c.cfg.Self.Compare(p.id) < 0 {
			all, placed = append(all, self), true
		}
		if c.mayHold(p) {
			all = append(all, member{p.id, p.hash, p.weight})
		}
	}
	if !placed {
		all = append(all, self)
	}
	c.ranking, c.rankedAt = newRanking(all, c.cfg.Self), c.now
	c.ranking.digest = digest
	for _, ep := range c.endpointsByName {
		c.place(ep)
	}
}

// place works out who should hold an endpoint.
func (c *Core) place(ep *endpoint) {
	before := ep.best
	ep.best, ep.other = c.ranking.holders(ep, c.cfg.Self)
	switch {
	case ep.best != c.cfg.Self:
		c.targetEndpoints = slices.DeleteFunc(c.targetEndpoints, func(m *endpoint) bool { return m == ep })
	case !slices.Contains(c.targetEndpoints, ep):
		c.targetEndpoints = append(c.targetEndpoints, ep)
		ep.free, ep.claimed, ep.believed, ep.redirects = c.now, time.Time{}, before, 0
	}
	if ep.best == c.cfg.Self && !c.settled() {
		ep.believed = ep.other // which held it before this entry came
	}
}

// wanted returns the entry that should hold the endpoint: one of its own data centre if
// there is any.
func (c *Core) wanted(ep *endpoint) cornelwall.Incarnation {
	if c.isStopping() || c.now.Before(ep.lostUntil) {
		return ep.other
	}
	return ep.best
}

// keepHolders takes endpoints that have no holder and hands on those that belong to
// others.
func (c *Core) keepHolders() {
	hands := 0
	for _, ep := range slices.Clone(c.heldEndpoints) {
		if hands < handsAtOnce && c.handOn(ep) {
			hands++
		}
	}
	claims := map[cornelwall.Incarnation][]string{}
	for _, ep := range c.targetEndpoints {
		if ep.lease == nil {
			c.takeFree(ep, claims)
		}
	}
	for _, p := range c.peersByID {
		if ids := claims[p.id]; ids != nil {
			c.link(p)
			c.send(p.id, cornelwall.Message{HandoverRequest: &cornelwall.HandoverRequest{Endpoints: ids}})
		}
	}
	c.dropGone()
}

// handOn offers an endpoint to the entry that should hold it.
func (c *Core) handOn(ep *endpoint) bool {
	l := ep.lease
	if l.phase != phaseReady || c.offerOpen(l) {
		return false
	}
	to := c.wanted(ep)
	p := c.peers[to]
	if p == nil || !c.isStopping() && (!l.claimed && c.now.Sub(l.since) < keepTime || c.now.Sub(l.handAt) < handPause) {
		return false
	}
	c.link(p)
	if !c.answers(p) || p.number == 0 {
		return false
	}
	c.lastOffer++
	m := &cornelwall.Handover{Session: p.theirSession, Endpoint: ep.Endpoint, Fence: l.fence, Offer: c.lastOffer}
	for _, r := range l.sortedRuns() {
		if r.state == runStopping {
			continue // the next holder stops what it is not offered
		}
		m.Runs = append(m.Runs, cornelwall.HandoverRun{
			RunID: r.id, Owner: r.owner, Need: r.Need, Estimate: r.Estimate, Age: c.now.Sub(r.startedAt),
		})
	}
	l.phase, l.handTo, l.handAt, l.handAcked, l.offer = phaseHanding, to, c.now, l.acked, c.lastOffer
	c.log("endpoint-handed", "endpoint", ep.ID, "to", to, "fence", l.fence, "runs", len(m.Runs))
	c.send(to, cornelwall.Message{Handover: m})
	return true
}

// adopt takes over an endpoint whose holder offers it.
func (c *Core) adopt(from cornelwall.Incarnation, m *cornelwall.Handover) {
	c.highestFence = max(c.highestFence, m.Fence)
	ep := c.endpoints[m.Endpoint.ID]
	if ep == nil {
		ep = c.addEndpoint(m.Endpoint)
	}
	if l := ep.lease; l != nil && l.from == from && l.first > m.Fence {
		return // sent again
	}
	moved := len(m.Runs) > 0 && ep.Addr != m.Endpoint.Addr // the list of one of the two lags behind
	if p := c.peers[from]; ep.lease != nil || moved || c.isStopping() || c.now.Before(ep.lostUntil) || !c.proved(p) || p.session != m.Session {
		c.send(from, cornelwall.Message{HandoverDecline: &cornelwall.HandoverDecline{Endpoint: ep.ID, Offer: m.Offer}})
		return
	}
	c.take(ep, c.keepable(m.Runs))
	ep.lease.from = from
}

// offerLost offers an endpoint that does not answer this entry to the next one, which may
// reach it.
func (c *Core) offerLost(ep *endpoint, fence uint64) {
	p := c.peers[ep.other]
	if p == nil || !c.answers(p) {
		return
	}
	c.lastOffer++
	ep.believed = p.id
	c.send(p.id, cornelwall.Message{Handover: &cornelwall.Handover{Session: p.theirSession, Endpoint: ep.Endpoint, Fence: fence, Offer: c.lastOffer}})
}

// declined goes on holding an endpoint that its next holder does not want.
func (c *Core) declined(from cornelwall.Incarnation, m *cornelwall.HandoverDecline) {
	ep := c.endpoints[m.Endpoint]
	if ep == nil {
		return
	}
	l := ep.lease
	if l == nil && ep.believed == from {
		ep.believed, ep.claimed = cornelwall.Incarnation{}, time.Time{}
		if m.Holder != nil && *m.Holder != c.cfg.Self && ep.redirects < maxRedirects {
			ep.redirects++
			ep.believed = *m.Holder
		}
	}
	if l == nil || l.handTo != from || l.offer != m.Offer {
		return
	}
	c.log("handover-declined", "endpoint", ep.ID, "by", from)
	l.handTo = cornelwall.Incarnation{}
	if l.phase == phaseHanding {
		l.phase = phaseReady
	}
}

// offerOpen reports whether an endpoint was offered to an entry that may still take it.
func (c *Core) offerOpen(l *lease) bool {
	if l.handTo.IsZero() {
		return false
	}
	p := c.peers[l.handTo]
	return p != nil && (!p.dead || c.now.Sub(p.heard) < offerLife)
}

// nextFence returns a fence above all that this entry knows of. Entries that take an
// endpoint in the same millisecond draw different ones.
func (c *Core) nextFence() uint64 {
	own := c.nameHash % fenceSpread
	fence := uint64(c.now.UnixMilli())*fenceSpread + own
	for fence <= c.highestFence {
		fence += fenceSpread
	}
	c.highestFence = fence
	return fence
}

// taken takes word of the entry that holds an endpoint now.
func (c *Core) taken(from cornelwall.Incarnation, m *cornelwall.EndpointAcquired) {
	c.highestFence = max(c.highestFence, m.Fence)
	if from != c.cfg.Self {
		p := c.peers[from]
		if p.session != m.Session {
			return // late: the endpoint may have started anew since, and have forgotten the fence
		}
		ep := c.endpoints[m.Endpoint]
		if ep != nil && ep.lease != nil && ep.lease.fence < m.Fence {
			c.handedOver(ep, from, m)
		}
		if ep != nil && ep.lease == nil {
			ep.believed, ep.claimed = from, time.Time{}
		}
		c.endYielded(from, m)
	}
	c.endPassed(m)
	for i := range m.Ended {
		c.handleRunResult(&m.Ended[i])
	}
	c.updateTaskHolders(from, m)
}
