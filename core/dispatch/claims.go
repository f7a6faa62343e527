package dispatch

import (
	"time"

	"cornelwall"
)

const (
	minSettleTime          = 120 * time.Millisecond  // after the start, for the entries that run to be heard
	stableTime             = 40 * time.Millisecond   // without a change of the entries, for the same
	maxSettleTime          = time.Second             // after which an entry takes endpoints whatever it has heard
	freeDelay              = 60 * time.Millisecond   // without a holder, after which an endpoint is taken
	handoverRequestTimeout = 1500 * time.Millisecond // for the holder to hand on what was claimed
	handoverRequestSilence = 200 * time.Millisecond  // without an answer, after which a claim is given up
	retakeDelay            = time.Second             // after another entry has taken an endpoint
	maxRedirects           = 3                       // of one claim, as entries may point at each other
)

// acquireFree takes an endpoint that should be this entry's once nobody else holds it. The
// entry that may is asked first. If it is silent, as after a loss of power, or does not hand
// the endpoint on, its fence is outbid.
func (c *Core) acquireFree(ep *endpoint, claims map[cornelwall.Incarnation][]string) {
	if c.isStopping() || c.isGone(ep) || c.now.Before(ep.retakeAt) || c.now.Before(ep.unreachableUntil) || !c.settled() {
		return
	}
	if p := c.peers[ep.presumedHolder]; p != nil && c.isAlive(p) {
		if ep.requestedAt.IsZero() {
			ep.requestedAt = c.now
			claims[p.id] = append(claims[p.id], ep.ID)
		}
		if c.now.Sub(ep.requestedAt) < handoverRequestTimeout && c.unansweredFor(p) <= handoverRequestSilence {
			return
		}
	}
	if c.now.Sub(ep.freeSince) >= freeDelay {
		c.acquire(ep, nil)
	}
}

// settled reports whether this entry has had the time to learn of the others.
func (c *Core) settled() bool {
	up := c.now.Sub(c.startedAt)
	return up >= maxSettleTime || up >= minSettleTime && c.membersRead && c.now.Sub(c.rankedAt) >= stableTime
}

// handleHandoverRequest takes the claim of an entry on endpoints.
func (c *Core) handleHandoverRequest(from cornelwall.Incarnation, m *cornelwall.HandoverRequest) {
	for _, id := range m.Endpoints {
		ep := c.endpoints[id]
		switch {
		case ep == nil:
			c.send(from, cornelwall.Message{HandoverDecline: &cornelwall.HandoverDecline{Endpoint: id}})
		case ep.lease == nil:
			m := &cornelwall.HandoverDecline{Endpoint: id}
			if p := c.peers[ep.presumedHolder]; p != nil && p.id != from && c.isAlive(p) {
				m.Holder = &p.id
			}
			c.send(from, cornelwall.Message{HandoverDecline: m})
		default:
			ep.lease.handoverRequested = true
		}
	}
}
