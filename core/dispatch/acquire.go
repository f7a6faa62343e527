package dispatch

import (
	"time"

	"cornelwall"
)

const (
	minSettleTime          = 60 * time.Millisecond   // after the start, for the other entries to be heard
	stableTime             = 20 * time.Millisecond   // without a change of the eligible entries, for the same purpose
	maxSettleTime          = time.Second             // after the start, when an entry acquires endpoints whatever it has heard
	freeDelay              = 30 * time.Millisecond   // from endpoint.freeSince, after which an endpoint without a holder is acquired
	handoverRequestTimeout = 1500 * time.Millisecond // for the holder to hand over an endpoint that it was asked for
	handoverRequestSilence = 200 * time.Millisecond  // without a heartbeat from the holder, after which its answer is no longer awaited
	retakeDelay            = time.Second             // before an endpoint that another entry has taken over may be acquired again
	maxRedirects           = 3                       // of one request, as entries may refer to each other in a circle
)

// acquireFree acquires an endpoint that this entry should hold once no other entry holds it. The
// presumed holder is asked to hand it over first; requests collects what to ask each holder for. If
// that entry is silent, as after a loss of power, or does not hand the endpoint over in time, this
// entry acquires it with a higher fence.
func (c *Core) acquireFree(ep *endpoint, requests map[cornelwall.Incarnation][]string) {
	if c.isStopping() || c.isGone(ep) || c.now.Before(ep.retakeAt) || c.now.Before(ep.unreachableUntil) || !c.settled() {
		return
	}
	if p := c.peers[ep.presumedHolder]; p != nil && c.isAlive(p) {
		if ep.requestedAt.IsZero() {
			ep.requestedAt = c.now
			requests[p.id] = append(requests[p.id], ep.ID)
		}
		if c.now.Sub(ep.requestedAt) < handoverRequestTimeout && c.unansweredFor(p) <= handoverRequestSilence {
			return
		}
	}
	if c.now.Sub(ep.freeSince) >= freeDelay {
		c.acquire(ep, nil)
	}
}

// settled reports whether this entry has learnt since its start which data centres are evacuated, and has had the
// time to learn of the others.
func (c *Core) settled() bool {
	up := c.now.Sub(c.startedAt)
	return c.knowsEvacuations() && (up >= maxSettleTime || up >= minSettleTime && !c.membersReadAt.IsZero() && c.now.Sub(c.rankedAt) >= stableTime)
}

// handleHandoverRequest marks the requested endpoints to be handed over. For those that this entry
// does not hold, it declines the request and names the presumed holder.
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
