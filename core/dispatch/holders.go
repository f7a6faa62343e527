package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

const (
	settleTime   = 120 * time.Millisecond  // after the start, for the entries that run to be heard
	quietTime    = 40 * time.Millisecond   // without a change of the entries, for the same
	settleMost   = time.Second             // after which an entry takes endpoints whatever it has heard
	freeTime     = 60 * time.Millisecond   // without a holder, after which an endpoint is taken
	claimTime    = 1500 * time.Millisecond // for the holder to hand on what was claimed
	claimSilence = 200 * time.Millisecond  // without an answer, after which a claim is given up
	yieldTime    = time.Second             // after another entry has taken an endpoint
	lostTime     = 3 * time.Second         // for which an endpoint that does not answer is left to others
	absentTime   = 3 * time.Second         // off the platform's list, after which an endpoint is gone
	keepTime     = time.Second             // for which an endpoint is held before it is handed on
	handTimeout  = 250 * time.Millisecond  // for the next holder to take over
	offerLife    = 2500 * time.Millisecond // of an offer to an entry that died since
	handPause    = time.Second             // between two offers of one endpoint
	handsAtOnce  = 4                       // endpoints that are handed on in one tick
	fenceSpread  = 1 << 10                 // fences that one millisecond has
	fenceJump    = 3000 * fenceSpread      // added when an endpoint knows a higher fence: three seconds
)

// endpoint is an executor on the platform's list.
type endpoint struct {
	cornelwall.Endpoint
	hash      uint64    // of its name
	absent    time.Time // since when it has not been on the list; zero if it is
	changed   int64     // revision of the list that changed it last
	lostUntil time.Time // until when it is left to others, as it does not answer this entry
	yielded   time.Time // until when it is left to the entry that took it
	lease     *lease    // of this entry
	fit       fitness

	best, other cornelwall.Incarnation // who should hold it, and who should but for this entry
	believed    cornelwall.Incarnation // another entry that may hold it; zero if none does
	free        time.Time              // since when this entry may take it
	claimed     time.Time              // when the believed holder was asked for it
}

// addEndpoint adds an endpoint that is not known yet.
func (c *Core) addEndpoint(info cornelwall.Endpoint) *endpoint {
	ep := &endpoint{Endpoint: info, hash: hashOf(info.ID), free: c.now}
	c.endpoints[info.ID] = ep
	i, _ := slices.BinarySearchFunc(c.byName, info.ID, compareName)
	c.byName = slices.Insert(c.byName, i, ep)
	c.place(ep)
	return ep
}

func (c *Core) dropEndpoint(ep *endpoint) {
	delete(c.endpoints, ep.ID)
	if i, ok := slices.BinarySearchFunc(c.byName, ep.ID, compareName); ok {
		c.byName = slices.Delete(c.byName, i, i+1)
	}
	c.mine = slices.DeleteFunc(c.mine, func(m *endpoint) bool { return m == ep })
}

func compareName(ep *endpoint, id string) int { return cmp.Compare(ep.ID, id) }

// hold notes the lease on an endpoint, or that there is none.
func (c *Core) hold(ep *endpoint, l *lease) {
	ep.lease = l
	c.heldNow = slices.DeleteFunc(c.heldNow, func(h *endpoint) bool { return h == ep })
	c.lostSome = c.lostSome || l == nil
	if l != nil {
		i, _ := slices.BinarySearchFunc(c.heldNow, ep.ID, compareName)
		c.heldNow = slices.Insert(c.heldNow, i, ep)
	}
}

// held returns the endpoints that this entry holds, by name. The list may change with the
// next lease.
func (c *Core) held() []*endpoint { return c.heldNow }

// gone reports whether the platform has left the endpoint off its list for good.
func (c *Core) gone(ep *endpoint) bool {
	return !ep.absent.IsZero() && c.platform && c.now.Sub(ep.absent) > absentTime
}

// rankMembers works out anew who should hold which endpoint if the entries that may have
// changed.
func (c *Core) rankMembers() {
	digest := c.hash
	if c.leaving() {
		digest = 0
	}
	for _, p := range c.byID {
		if c.alive(p) && !p.leaving {
			digest ^= p.key + uint64(p.weight)
		}
	}
	if digest == c.ranks.digest {
		return
	}
	all := make([]member, 0, len(c.byID)+1)
	self := member{c.cfg.Self, c.hash, c.cfg.Weight}
	placed := c.leaving()
	for _, p := range c.byID {
		if !placed && c.cfg.Self.Compare(p.id) < 0 {
			all, placed = append(all, self), true
		}
		if c.alive(p) && !p.leaving {
			all = append(all, member{p.id, p.hash, p.weight})
		}
	}
	if !placed {
		all = append(all, self)
	}
	c.ranks, c.ranked = newRanking(all, c.cfg.Self), c.now
	c.ranks.digest = digest
	for _, ep := range c.byName {
		c.place(ep)
	}
}

// place works out who should hold an endpoint.
func (c *Core) place(ep *endpoint) {
	before := ep.best
	ep.best, ep.other = c.ranks.holders(ep, c.cfg.Self)
	switch {
	case ep.best != c.cfg.Self:
		c.mine = slices.DeleteFunc(c.mine, func(m *endpoint) bool { return m == ep })
	case !slices.Contains(c.mine, ep):
		c.mine = append(c.mine, ep)
		ep.free, ep.claimed, ep.believed = c.now, time.Time{}, before
	}
	if ep.best == c.cfg.Self && !c.settled() {
		ep.believed = ep.other // which held it before this entry came
	}
}

// wanted returns the entry that should hold the endpoint: one of its own data centre if
// there is any.
func (c *Core) wanted(ep *endpoint) cornelwall.Incarnation {
	if c.leaving() || c.now.Before(ep.lostUntil) {
		return ep.other
	}
	return ep.best
}

// keepHolders takes endpoints that have no holder and hands on those that belong to
// others.
func (c *Core) keepHolders() {
	hands := 0
	for _, ep := range slices.Clone(c.heldNow) {
		if hands < handsAtOnce && c.handOn(ep) {
			hands++
		}
	}
	claims := map[cornelwall.Incarnation][]string{}
	for _, ep := range c.mine {
		if ep.lease == nil {
			c.takeFree(ep, claims)
		}
	}
	for _, p := range c.byID {
		if ids := claims[p.id]; ids != nil {
			c.link(p)
			c.send(p.id, cornelwall.Message{Claim: &cornelwall.Claim{Endpoints: ids}})
		}
	}
	c.dropGone()
}

// dropGone forgets endpoints that are gone, from time to time.
func (c *Core) dropGone() {
	if c.now.Sub(c.goneChecked) < dropEvery {
		return
	}
	c.goneChecked = c.now
	for _, ep := range slices.Clone(c.byName) {
		if c.gone(ep) && (ep.lease == nil || len(ep.lease.runs) == 0) {
			c.release(ep)
			c.dropEndpoint(ep)
			c.log("endpoint-gone", "endpoint", ep.ID)
		}
	}
}

// takeFree takes an endpoint that should be this entry's once nobody else holds it. The
// entry that may is asked first. If it is silent, as after a loss of power, or does not hand
// the endpoint on, its fence is outbid.
func (c *Core) takeFree(ep *endpoint, claims map[cornelwall.Incarnation][]string) {
	if c.leaving() || c.gone(ep) || c.now.Before(ep.yielded) || c.now.Before(ep.lostUntil) || !c.settled() {
		return
	}
	if p := c.peers[ep.believed]; p != nil && c.alive(p) {
		if ep.claimed.IsZero() {
			ep.claimed = c.now
			claims[p.id] = append(claims[p.id], ep.ID)
		}
		if c.now.Sub(ep.claimed) < claimTime && c.unanswered(p) <= claimSilence {
			return
		}
	}
	if c.now.Sub(ep.free) >= freeTime {
		c.take(ep, nil)
	}
}

// settled reports whether this entry has had the time to learn of the others.
func (c *Core) settled() bool {
	up := c.now.Sub(c.started)
	return up >= settleMost || up >= settleTime && c.membersRead && c.now.Sub(c.ranked) >= quietTime
}

// claimed takes the claim of an entry on endpoints.
func (c *Core) claimed(from cornelwall.Incarnation, m *cornelwall.Claim) {
	for _, id := range m.Endpoints {
		ep := c.endpoints[id]
		switch {
		case ep == nil:
			c.send(from, cornelwall.Message{Decline: &cornelwall.Decline{Endpoint: id}})
		case ep.lease == nil:
			m := &cornelwall.Decline{Endpoint: id}
			if p := c.peers[ep.believed]; p != nil && p.id != from && c.alive(p) {
				m.Holder = &p.id
			}
			c.send(from, cornelwall.Message{Decline: m})
		default:
			ep.lease.claimed = true
		}
	}
}

// handOn offers an endpoint to the entry that should hold it.
func (c *Core) handOn(ep *endpoint) bool {
	l := ep.lease
	if l.phase != phaseReady || c.offerOpen(l) {
		return false
	}
	to := c.wanted(ep)
	p := c.peers[to]
	if p == nil || !c.leaving() && (!l.claimed && c.now.Sub(l.since) < keepTime || c.now.Sub(l.handAt) < handPause) {
		return false
	}
	c.link(p)
	if !c.answers(p) || p.number == 0 {
		return false
	}
	c.offers++
	m := &cornelwall.Handover{Session: p.theirSession, Endpoint: ep.Endpoint, Fence: l.fence, Offer: c.offers}
	for _, r := range l.sortedRuns() {
		m.Runs = append(m.Runs, cornelwall.HandoverRun{
			RunID: r.id, Owner: r.owner, Need: r.Need, Estimate: r.Estimate, Age: c.now.Sub(r.startAt),
		})
	}
	l.phase, l.handTo, l.handAt, l.handAcked, l.offer = phaseHanding, to, c.now, l.acked, c.offers
	c.log("endpoint-handed", "endpoint", ep.ID, "to", to, "fence", l.fence, "runs", len(m.Runs))
	c.send(to, cornelwall.Message{Handover: m})
	return true
}

// adopt takes over an endpoint whose holder offers it.
func (c *Core) adopt(from cornelwall.Incarnation, m *cornelwall.Handover) {
	c.fence = max(c.fence, m.Fence)
	ep := c.endpoints[m.Endpoint.ID]
	if ep == nil {
		ep = c.addEndpoint(m.Endpoint)
	}
	if l := ep.lease; l != nil && l.from == from && l.first > m.Fence {
		return // sent again
	}
	if p := c.peers[from]; ep.lease != nil || c.leaving() || c.now.Before(ep.lostUntil) || !c.proved(p) || p.session != m.Session {
		c.send(from, cornelwall.Message{Decline: &cornelwall.Decline{Endpoint: ep.ID, Offer: m.Offer}})
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
	c.offers++
	ep.believed = p.id
	c.send(p.id, cornelwall.Message{Handover: &cornelwall.Handover{Session: p.theirSession, Endpoint: ep.Endpoint, Fence: fence, Offer: c.offers}})
}

// declined goes on holding an endpoint that its next holder does not want.
func (c *Core) declined(from cornelwall.Incarnation, m *cornelwall.Decline) {
	ep := c.endpoints[m.Endpoint]
	if ep == nil {
		return
	}
	l := ep.lease
	if l == nil && ep.believed == from {
		ep.believed, ep.claimed = cornelwall.Incarnation{}, time.Time{}
		if m.Holder != nil && *m.Holder != c.cfg.Self {
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
	own := c.hash % fenceSpread
	fence := uint64(c.now.UnixMilli())*fenceSpread + own
	for fence <= c.fence {
		fence += fenceSpread
	}
	c.fence = fence
	return fence
}

// taken takes word of the entry that holds an endpoint now.
func (c *Core) taken(from cornelwall.Incarnation, m *cornelwall.Taken) {
	c.fence = max(c.fence, m.Fence)
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
	for i := range m.Ended {
		c.over(&m.Ended[i])
	}
	c.endpointTaken(from, m)
}

// Held returns the number of endpoints that this entry holds.
func (c *Core) Held() int { return len(c.heldNow) }
