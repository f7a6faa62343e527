package dispatch

import (
	"time"

	"cornelwall"
)

const (
	settleTime   = 120 * time.Millisecond  // after the start, for the other entries to be heard
	quietTime    = 40 * time.Millisecond   // without a change of the eligible entries, for the same purpose
	settleMost   = time.Second             // after the start, when an entry acquires endpoints whatever it has heard
	freeTime     = 60 * time.Millisecond   // without a holder, after which an endpoint is acquired
	claimTime    = 1500 * time.Millisecond // for the holder to hand over a claimed endpoint
	claimSilence = 200 * time.Millisecond  // without an answer of the holder, after which a claim is given up
	yieldTime    = time.Second             // before an endpoint that another entry has taken over may be acquired again
	maxRedirects = 3                       // of one claim, as entries may refer to each other in a circle
)

// acquireFree acquires an endpoint that this entry should hold once no other entry holds it. The
// presumed holder is asked to hand it over first: claims collects these requests by holder. If that
// entry is silent, as after a loss of power, or does not hand the endpoint over in time, this
// entry acquires it with a higher fence.
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

// settled reports whether this entry has had the time to learn of the others since its start.
func (c *Core) settled() bool {
	up := c.now.Sub(c.started)
	return up >= settleMost || up >= settleTime && c.membersRead && c.now.Sub(c.rankedAt) >= quietTime
}

// handleClaim processes the claim of an entry to endpoints that this entry may hold.
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
