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

// offerRun offers x2 to the holder, with a run whose owner proved 100 ms ago that it hears the third entry, and answers
// the first poll there.
func (e *thirdEntry) offerRun(t *testing.T) *run {
	h := e.h
	info := h.endpointInfo(netip.MustParseAddrPort("10.0.0.2:7001"))
	info.ID = "x2"
	id := cornelwall.RunID{Task: "b.0.0.0", Run: 7}
	e.send(cornelwall.Message{Handover: &cornelwall.Handover{
		Session: h.c.peers[e.id].session, Endpoint: info, Fence: 5, Offer: 1, AckedSeq: h.c.peers[e.id].sentSeq,
		Runs: []cornelwall.HandoverRun{{RunID: id, Owner: h.owner, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second, ProofAge: 100 * time.Millisecond}},
	}})
	r := h.c.runs[id]
	assert.Assert(t, r != nil, "the run is not kept")
	e.step(cornelwall.PollResult{Endpoint: "x2", Fence: r.lease.fence, Seq: r.lease.lastPoll, Boot: 1, Clock: 30 * time.Second, Running: []cornelwall.RunState{{RunID: id}}})
	assert.Equal(t, r.lease.phase, phaseReady)
	return r
}

// TestHandedOverRunCountsProofOfPreviousHolder hands over a run whose owner is silent from then on. It must be
// stopped when the proof of the previous holder expires, and the owner must be asked for another before.
func TestHandedOverRunCountsProofOfPreviousHolder(t *testing.T) {
	h := newTestHolder(t)
	third := h.addThirdEntry()
	third.advance(60 * time.Millisecond)
	proven := h.now.Add(-100 * time.Millisecond)
	h.now = h.now.Add(piggybackInterval)
	sent := h.c.peers[h.owner].sentSeq
	r := third.offerRun(t)
	assert.Assert(t, h.c.peers[h.owner].sentSeq > sent, "the owner is not asked for proof")
	h.c.peers[h.owner].provenAt = proven // from now on it is silent
	for r.state == runRunning {
		h.now = h.now.Add(tickInterval)
		third.step(cornelwall.Tick{})
		third.sendHeartbeat()
	}
	age := h.now.Sub(proven)
	assert.Assert(t, age > proofTTL-heartbeatInterval && age <= proofTTL+tickInterval, "stopped at age %s", age)
}

// TestHeartbeatsProveNothingOfRunThatOwnerDoesNotKnowHere hands over a run while only heartbeats pass between its owner
// and the next holder. The owner counts the silence of the previous holder, so that the run must be stopped.
func TestHeartbeatsProveNothingOfRunThatOwnerDoesNotKnowHere(t *testing.T) {
	h := newTestHolder(t)
	third := h.addThirdEntry()
	third.advance(60 * time.Millisecond)
	r := third.offerRun(t)
	third.advance(proofTTL)
	assert.Equal(t, r.state, runStopping, "the run goes on")
}

// TestHandedOverRunGoesOnOnceItsOwnerConfirms confirms a report of a run that was handed over. A confirmation of the report
// of an earlier holding of the endpoint must not count.
func TestHandedOverRunGoesOnOnceItsOwnerConfirms(t *testing.T) {
	for _, late := range []bool{false, true} {
		h := newTestHolder(t)
		third := h.addThirdEntry()
		third.advance(60 * time.Millisecond)
		r := third.offerRun(t)
		fence := r.lease.fence
		if late {
			fence--
		}
		h.receive(cornelwall.Message{RunsKnown: &cornelwall.RunsKnown{Endpoint: "x2", Fence: fence, Runs: []cornelwall.RunID{r.id}}})
		third.advance(2 * proofTTL)
		assert.Equal(t, r.state == runStopping, late)
	}
}

// TestUnconfirmedReportIsRepeated hands over a run whose owner does not confirm the report of it. The report must be
// repeated while the run may go on.
func TestUnconfirmedReportIsRepeated(t *testing.T) {
	h := newTestHolder(t)
	third := h.addThirdEntry()
	third.advance(60 * time.Millisecond)
	r := third.offerRun(t)
	first := r.reportedAt
	third.advance(heartbeatInterval + tickInterval)
	assert.Assert(t, r.reportedAt.After(first))
}
