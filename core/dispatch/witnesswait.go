package dispatch

import (
	"slices"
	"time"

	"cornelwall"
)

const (
	minWitnessTimeout = 60 * time.Millisecond  // after which a witness that is near and does not answer is left out
	maxWitnessTimeout = 300 * time.Millisecond // below claimRenewal; also for a witness whose round trip nothing is known of
	witnessMargin     = 50 * time.Millisecond  // by which an answer may exceed the usual round trip
	connectRoundTrips = 3                      // of a claim and its answer if a connection is set up for each
	timedClaimTTL     = time.Second            // after which the answer to a claim that is timed is taken for lost
)

// timedClaim is a claim whose answer is timed.
type timedClaim struct {
	job    string
	round  uint64
	sentAt time.Time
}

// witnessTimeout returns how long the answer of a witness is waited for.
func (c *Core) witnessTimeout(id cornelwall.Incarnation) time.Duration {
	p := c.peers[id]
	if p == nil {
		return minWitnessTimeout
	}
	usual := c.usualRoundTrip(p)
	if usual == 0 {
		return maxWitnessTimeout
	}
	if !c.isResponsive(p) {
		usual *= connectRoundTrips
	}
	return min(max(usual+witnessMargin, minWitnessTimeout), maxWitnessTimeout)
}

// usualRoundTrip returns the usual round trip to a peer, or the greatest one to other entries of its data centre if that is not
// known. It is 0 if neither is.
func (c *Core) usualRoundTrip(p *peer) time.Duration {
	if usual := p.roundTrips.Usual(); usual > 0 {
		return usual
	}
	var usual time.Duration
	for _, n := range c.peersByID {
		if n.id.DataCentre == p.id.DataCentre {
			usual = max(usual, n.roundTrips.Usual())
		}
	}
	return usual
}

// timeClaim begins to time the answer to a claim, unless that to an earlier one is still waited for.
func (c *Core) timeClaim(id cornelwall.Incarnation, m *cornelwall.OwnershipClaim) {
	p := c.peers[id]
	if p == nil || !p.timed.sentAt.IsZero() && c.now.Sub(p.timed.sentAt) < timedClaimTTL {
		return
	}
	p.timed = timedClaim{job: m.ID, round: m.Round, sentAt: c.now}
}

// noteRoundTrip records how long the answer to a claim has taken, also if it is no longer waited for. What this process has taken
// itself while it did not run is not recorded.
func (c *Core) noteRoundTrip(p *peer, m *cornelwall.OwnershipReplies) {
	t := p.timed
	if t.sentAt.IsZero() || !slices.ContainsFunc(m.List, func(x cornelwall.OwnershipReply) bool { return x.ID == t.job && x.Round == t.round }) {
		return
	}
	p.timed = timedClaim{}
	if !t.sentAt.Before(c.lateAt) {
		p.roundTrips.Record(c.now.Sub(t.sentAt))
	}
}
