package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelwall"
)

const (
	settleTime  = 120 * time.Millisecond  // after the start, for the entries that run to be heard
	freeTime    = 60 * time.Millisecond   // without a holder, after which an endpoint is taken
	yieldTime   = time.Second             // after another entry has taken an endpoint
	lostTime    = 3 * time.Second         // for which an endpoint that does not answer is left to others
	absentTime  = 3 * time.Second         // off the platform's list, after which an endpoint is gone
	keepTime    = time.Second             // for which an endpoint is held before it is handed on
	handTimeout = 250 * time.Millisecond  // for the next holder to take over
	offerLife   = 2500 * time.Millisecond // of an offer to an entry that died since
	handPause   = time.Second             // between two offers of one endpoint
	handsAtOnce = 4                       // endpoints that are handed on in one tick
	fenceSpread = 1 << 10                 // fences that one millisecond has
)

// endpoint is an executor on the platform's list.
type endpoint struct {
	cornelwall.Endpoint
	absent    time.Time // since when it has not been on the list; zero if it is
	free      time.Time // since when it has had no holder; zero if it has one
	yielded   time.Time // until when it is left to the entry that took it
	lostUntil time.Time // until when it is left to others, as it does not answer this entry
	lease     *lease    // of this entry
	fit       fitness
}

func (c *Core) setEndpoints(list []cornelwall.Endpoint) {
	now := map[string]bool{}
	for _, info := range list {
		now[info.ID] = true
		ep := c.endpoints[info.ID]
		if ep == nil {
			ep = c.addEndpoint(info)
		}
		if info.Leaving && !ep.Leaving && ep.lease != nil {
			c.log("endpoint-leaves", "endpoint", info.ID)
		}
		ep.Endpoint, ep.absent = info, time.Time{}
		if l := ep.lease; l != nil && l.boot != 0 && info.Boot > l.boot {
			c.restarted(l, info.Boot)
		}
	}
	for id, ep := range c.endpoints {
		if !now[id] && ep.absent.IsZero() {
			ep.absent = c.now
		}
	}
}

// addEndpoint adds an endpoint that is not known yet.
func (c *Core) addEndpoint(info cornelwall.Endpoint) *endpoint {
	ep := &endpoint{Endpoint: info, free: c.now}
	c.endpoints[info.ID] = ep
	i, _ := slices.BinarySearchFunc(c.byName, info.ID, compareName)
	c.byName = slices.Insert(c.byName, i, ep)
	return ep
}

func (c *Core) dropEndpoint(ep *endpoint) {
	delete(c.endpoints, ep.ID)
	if i, ok := slices.BinarySearchFunc(c.byName, ep.ID, compareName); ok {
		c.byName = slices.Delete(c.byName, i, i+1)
	}
}

func compareName(ep *endpoint, id string) int { return cmp.Compare(ep.ID, id) }

// held returns the endpoints that this entry holds, by name.
func (c *Core) held() []*endpoint {
	var list []*endpoint
	for _, ep := range c.byName {
		if ep.lease != nil {
			list = append(list, ep)
		}
	}
	return list
}

// gone reports whether the platform has left the endpoint off its list for good.
func (c *Core) gone(ep *endpoint) bool {
	return !ep.absent.IsZero() && c.platform && c.now.Sub(ep.absent) > absentTime
}

// keepHolders takes endpoints that have no holder and hands on those that belong to
// others.
func (c *Core) keepHolders() {
	hands, claimed := 0, c.claimed()
	for _, ep := range slices.Clone(c.byName) {
		switch {
		case c.gone(ep) && (ep.lease == nil || len(ep.lease.runs) == 0):
			c.release(ep)
			c.dropEndpoint(ep)
			c.log("endpoint-gone", "endpoint", ep.ID)
		case ep.lease != nil:
			if hands < handsAtOnce && c.handOn(ep) {
				hands++
			}
		default:
			c.takeFree(ep, claimed[ep.ID])
		}
	}
}

// takeFree takes an endpoint that has had no holder for a while, if it is this entry's.
func (c *Core) takeFree(ep *endpoint, claimed bool) {
	if claimed {
		ep.free = time.Time{}
		return
	}
	if ep.free.IsZero() {
		ep.free = c.now
	}
	if c.now.Sub(c.started) < settleTime || c.now.Sub(ep.free) < freeTime || c.now.Before(ep.yielded) {
		return
	}
	if c.leaving() || c.gone(ep) || c.wanted(ep) != c.cfg.Self {
		return
	}
	c.take(ep, nil)
}

// claimed returns the names of the endpoints that other entries hold.
func (c *Core) claimed() map[string]bool {
	claimed := make(map[string]bool, len(c.endpoints))
	for _, p := range c.byID {
		if c.alive(p) {
			maps.Copy(claimed, p.holds)
		}
	}
	return claimed
}

// wanted returns the entry that should hold the endpoint: one of its own data centre if
// there is any, chosen by rendezvous hashing.
func (c *Core) wanted(ep *endpoint) cornelwall.Incarnation {
	var best cornelwall.Incarnation
	var bestRank uint64
	consider := func(id cornelwall.Incarnation) {
		rank := xxhash.Sum64String(id.Entry+"/"+ep.ID) >> 1
		if id.DataCentre == ep.DataCentre {
			rank |= 1 << 63
		}
		if rank > bestRank {
			best, bestRank = id, rank
		}
	}
	if !c.leaving() && !c.now.Before(ep.lostUntil) {
		consider(c.cfg.Self)
	}
	for _, p := range c.peers {
		if c.alive(p) && !p.leaving && !p.lost[ep.ID] {
			consider(p.id)
		}
	}
	return best
}

// handOn offers an endpoint to the entry that should hold it.
func (c *Core) handOn(ep *endpoint) bool {
	l := ep.lease
	if l.phase != phaseReady || c.offerOpen(l) {
		return false
	}
	if !c.leaving() && (c.now.Sub(l.since) < keepTime || c.now.Sub(l.handAt) < handPause) {
		return false
	}
	to := c.wanted(ep)
	p := c.peers[to]
	if p == nil || !c.answers(p) || p.number == 0 {
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
	c.addEndpoints([]cornelwall.Endpoint{m.Endpoint})
	ep := c.endpoints[m.Endpoint.ID]
	if l := ep.lease; l != nil && l.from == from && l.first > m.Fence {
		return // sent again
	}
	if p := c.peers[from]; ep.lease != nil || c.leaving() || !p.open || p.session != m.Session {
		c.send(from, cornelwall.Message{Decline: &cornelwall.Decline{Endpoint: ep.ID, Offer: m.Offer}})
		return
	}
	c.take(ep, c.keepable(m.Runs))
	ep.lease.from = from
}

// declined goes on holding an endpoint that its next holder does not want.
func (c *Core) declined(from cornelwall.Incarnation, m *cornelwall.Decline) {
	ep := c.endpoints[m.Endpoint]
	if ep == nil || ep.lease == nil || ep.lease.handTo != from || ep.lease.offer != m.Offer {
		return
	}
	l := ep.lease
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

// addEndpoints takes endpoints that another entry knows of.
func (c *Core) addEndpoints(list []cornelwall.Endpoint) {
	for _, info := range list {
		if c.endpoints[info.ID] == nil {
			c.addEndpoint(info)
		}
	}
}

// known returns all endpoints in a stable order.
func (c *Core) known() []cornelwall.Endpoint {
	var list []cornelwall.Endpoint
	for _, ep := range c.byName {
		if ep.absent.IsZero() {
			list = append(list, ep.Endpoint)
		}
	}
	return list
}

// nextFence returns a fence above all that this entry knows of. Entries that take an
// endpoint in the same millisecond draw different ones.
func (c *Core) nextFence() uint64 {
	own := xxhash.Sum64String(c.cfg.Self.String()) % fenceSpread
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
		if p.holds != nil {
			p.holds[m.Endpoint] = true
		}
		if ep := c.endpoints[m.Endpoint]; ep != nil && ep.lease != nil && ep.lease.fence < m.Fence {
			c.handedOver(ep, from, m)
		}
		c.endYielded(from, m)
	}
	for i := range m.Ended {
		c.over(&m.Ended[i])
	}
	c.endpointTaken(from, m)
}
