package dispatch

import (
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
	maxRedirects = 3                       // of one claim, as entries may point at each other
)

// takeFree takes an endpoint that should be this entry's once nobody else holds it. The
// entry that may is asked first. If it is silent, as after a loss of power, or does not hand
// the endpoint on, its fence is outbid.
func (c *Core) takeFree(ep *endpoint, claims map[cornelwall.Incarnation][]string) {
	if c.isStopping() || c.gone(ep) || c.now.Before(ep.yielded) || c.now.Before(ep.lostUntil) || !c.settled() {
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
	return up >= settleMost || up >= settleTime && c.membersRead && c.now.Sub(c.rankedAt) >= quietTime
}

// claimed takes the claim of an entry on endpoints.
func (c *Core) claimed(from cornelwall.Incarnation, m *cornelwall.HandoverRequest) {
	for _, id := range m.Endpoints {
		ep := c.endpoints[id]
		switch {
		case ep == nil:
			c.send(from, cornelwall.Message{HandoverDecline: &cornelwall.HandoverDecline{Endpoint: id}})
		case ep.lease == nil:
			m := &cornelwall.HandoverDecline{Endpoint: id}
			if p := c.peers[ep.believed]; p != nil && p.id != from && c.alive(p) {
				m.Holder = &p.id
			}
			c.send(from, cornelwall.Message{HandoverDecline: m})
		default:
			ep.lease.claimed = true
		}
	}
}
