package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestEndsAfterOfferAreNotAcknowledged checks that an end which an endpoint lists after it was
// offered is not acknowledged before the offer is settled, so that the endpoint still lists it to
// the next holder. Otherwise the owner would count a run that is done as lost.
func TestEndsAfterOfferAreNotAcknowledged(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	next := cornelwall.Incarnation{DataCentre: "dc1", Entry: "e2", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond, StopGrace: 6 * time.Second}}, now)
	var offer *cornelwall.Handover
	var acked []int64
	step := func(ev cornelwall.Event) {
		for _, cmd := range c.Step(now, ev) {
			switch cmd := cmd.(type) {
			case cornelwall.PollEndpoint:
				acked = append(acked, cmd.AckedEnd)
			case cornelwall.Send:
				if cmd.Message.Handover != nil {
					offer = cmd.Message.Handover
				}
			}
		}
	}
	receive := func(m cornelwall.Message) {
		step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: next, To: self, Messages: []cornelwall.Message{m}}})
	}

	ep := c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}})
	c.acquire(ep, nil)
	l := ep.lease
	step(cornelwall.PollResult{Endpoint: "x1", Fence: l.fence, Seq: l.lastPoll, Boot: 1, Clock: time.Second})
	assert.Equal(t, l.phase, phaseReady)
	var ids []cornelwall.RunID
	for _, name := range []string{"a.0.0.0", "a.0.0.1"} {
		r := &run{id: cornelwall.RunID{Task: name, Run: 1}, owner: self, state: runRunning, receivedAt: now, startedAt: now}
		r.Estimate = 5 * time.Second
		ids = append(ids, r.id)
		c.runs[r.id] = r
		l.addRun(r)
	}
	now = now.Add(tickInterval) // a long poll is open
	receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 1, Session: 7}})
	step(cornelwall.Stop{})
	assert.Assert(t, offer != nil && len(offer.Runs) == 2, "the endpoint is not offered with its runs")

	acked = nil
	step(cornelwall.PollResult{
		Endpoint: "x1", Fence: l.fence, Seq: l.lastPoll, Boot: 1, Clock: time.Second,
		Running: []cornelwall.RunState{{RunID: ids[1]}},
		Ended:   []cornelwall.RunEnded{{Seq: 1, RunID: ids[0], End: cornelwall.RunDone}},
	})
	assert.DeepEqual(t, acked, []int64{0})

	acked = nil
	now = now.Add(tickInterval)
	receive(cornelwall.Message{HandoverDecline: &cornelwall.HandoverDecline{Endpoint: "x1", Offer: offer.Offer - 1}})
	assert.Equal(t, l.phase, phaseOffered, "a delayed decline of an earlier offer ends the current one")
	receive(cornelwall.Message{HandoverDecline: &cornelwall.HandoverDecline{Endpoint: "x1", Offer: offer.Offer}})
	step(cornelwall.PollResult{Endpoint: "x1", Fence: l.fence, Seq: l.lastPoll, Boot: 1, Clock: time.Second, Running: []cornelwall.RunState{{RunID: ids[1]}}})
	assert.DeepEqual(t, acked, []int64{1})
}
