package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// thirdEntry is a third entry that a holding meets.
type thirdEntry struct {
	h        *testHolder
	id       cornelwall.Incarnation
	lastSeq  uint64
	received []cornelwall.Message
	polls    []cornelwall.PollEndpoint
	stops    []cornelwall.StopRun
}

func (h *testHolder) addThirdEntry() *thirdEntry {
	o := &thirdEntry{h: h, id: cornelwall.Incarnation{DataCentre: "dc0", Entry: "e3", Epoch: 1}}
	o.sendHeartbeat()
	o.sendHeartbeat()
	return o
}

func (o *thirdEntry) sendHeartbeat() {
	o.lastSeq++
	m := cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: o.h.addr, Seq: o.lastSeq, Session: 8}}
	if p := o.h.c.peers[o.id]; p != nil {
		m.SessionHeartbeat.AckedSeq = p.sentSeq
	}
	o.send(m)
}

func (o *thirdEntry) send(m cornelwall.Message) {
	o.step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: o.id, Messages: []cornelwall.Message{m}}})
}

func (o *thirdEntry) step(ev cornelwall.Event) {
	for _, cmd := range o.h.c.Step(o.h.now, ev) {
		switch cmd := cmd.(type) {
		case cornelwall.Send:
			if cmd.To == o.id {
				o.received = append(o.received, cmd.Message)
			}
			if cmd.To == o.h.owner && cmd.Message.RunResults != nil {
				o.h.results = append(o.h.results, cmd.Message.RunResults.Runs...)
			}
		case cornelwall.PollEndpoint:
			o.polls = append(o.polls, cmd)
		case cornelwall.StopRun:
			o.stops = append(o.stops, cmd)
		}
	}
}

// advance lets time pass while both the owner and the other entry hear this one.
func (o *thirdEntry) advance(d time.Duration) {
	for end := o.h.now.Add(d); o.h.now.Before(end); {
		o.h.now = o.h.now.Add(tickInterval)
		o.step(cornelwall.Tick{})
		o.h.sendOwnerHeartbeat(o.h.c.peers[o.h.owner].sentSeq)
		o.sendHeartbeat()
	}
}

func (o *thirdEntry) sendHandover(info cornelwall.Endpoint, fence uint64, run cornelwall.RunID) {
	o.send(cornelwall.Message{Handover: &cornelwall.Handover{
		Session: o.h.c.peers[o.id].session, Endpoint: info, Fence: fence, Offer: 1,
		Runs: []cornelwall.HandoverRun{{RunID: run, Owner: o.h.owner, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second}},
	}})
}

// TestOfferWithNewAddressEndsNoRun: an entry that asks at the old address of an endpoint tells nothing of its runs.
func TestOfferWithNewAddressEndsNoRun(t *testing.T) {
	h := newTestHolder(t)
	o := h.addThirdEntry()
	run := cornelwall.RunID{Task: "b.0.0.0", Run: 7}
	old := h.endpointInfo(netip.MustParseAddrPort("10.0.0.2:7001"))
	old.ID = "x2"
	h.c.addEndpoint(old)
	moved := old
	moved.Addr, moved.Boot = netip.MustParseAddrPort("10.0.0.3:7001"), 2
	o.polls = nil
	o.sendHandover(moved, 5, run)
	for _, look := range o.polls {
		if look.Endpoint.Addr == old.Addr {
			h.step(cornelwall.PollResult{Endpoint: "x2", Fence: look.Fence, Seq: look.Seq, Refusal: cornelwall.RefusedBoot})
		}
	}
	assert.Equal(t, len(h.results), 0, "a run at the new address is said to be over")
}

// TestEndsOfEarlierBootAreNotAcknowledged: what an earlier boot listed is not acknowledged to the new one.
func TestEndsOfEarlierBootAreNotAcknowledged(t *testing.T) {
	h := newTestHolder(t)
	o := h.addThirdEntry()
	o.advance(40 * time.Millisecond)
	early := h.lease.lastPoll
	assert.Assert(t, early > 1, "a look is under way")
	fence := h.lease.fence
	h.answerOrder(false, cornelwall.RefusedNone, 10*time.Millisecond)
	assert.Assert(t, h.lease.fence > fence, "the clock tells of the restart")
	o.polls = nil
	o.step(cornelwall.PollResult{
		Endpoint: "x1", Fence: fence, Seq: early, Boot: 1, Clock: 30050 * time.Millisecond,
		Ended: []cornelwall.RunEnded{{Seq: 9, RunID: cornelwall.RunID{Task: "z.0.0.0", Run: 1}, End: cornelwall.RunDone}},
	})
	o.advance(4 * pollRetryInterval)
	assert.Assert(t, len(o.polls) > 0)
	for _, look := range o.polls {
		assert.Equal(t, look.AckedThrough, int64(0), "the new boot forgets ends that nobody has taken in")
	}
}

// TestStopIsSentAgainToNewBoot: a stop that an earlier boot took has no effect on a run that came late.
func TestStopIsSentAgainToNewBoot(t *testing.T) {
	h := newTestHolder(t)
	o := h.addThirdEntry()
	fence := h.lease.fence
	h.advance(200 * time.Millisecond)
	h.answerOrder(false, cornelwall.RefusedUnknown, 0)
	h.answerOrder(true, cornelwall.RefusedNone, 30200*time.Millisecond)
	h.now = h.now.Add(10 * time.Millisecond)
	h.answerPoll(fence, 2, 5*time.Millisecond, h.run) // the start came late, to the new boot
	assert.Assert(t, h.lease.fence > fence)
	h.now = h.now.Add(10 * time.Millisecond)
	h.answerPoll(h.lease.fence, 2, 15*time.Millisecond, h.run)
	o.advance(2 * stopRetryInterval)
	assert.Assert(t, len(o.stops) > 0, "nothing stops the run but the end of the lease, with all that runs there")
	assert.Equal(t, o.stops[0].Fence, h.lease.fence)
}

// TestFenceRefusalIsNoRestart: an endpoint that refuses the fence has another holder, whatever its clock shows.
func TestFenceRefusalIsNoRestart(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedFence, 10*time.Millisecond)
	assert.Assert(t, h.c.endpoints["x1"].lease == nil, "the endpoint is taken back from its new holder")
}

// TestWithdrawalIsNotReturnedToSender: two entries that have each left a run to the other do not pass its withdrawal to and fro.
func TestWithdrawalIsNotReturnedToSender(t *testing.T) {
	h := newTestHolder(t)
	o := h.addThirdEntry()
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	fence := h.lease.fence + fencesPerMilli
	o.send(cornelwall.Message{EndpointAcquired: &cornelwall.EndpointAcquired{
		Session: h.c.peers[o.id].session, Endpoint: "x1", Fence: fence, Kept: []cornelwall.RunID{h.run},
	}})
	assert.Assert(t, h.c.endpoints["x1"].lease == nil)
	o.received = nil
	o.send(cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{h.run}, MayHaveStarted: true}})
	for _, m := range o.received {
		assert.Assert(t, m.Withdraw == nil, "passed back to the entry that it came from")
	}
}

// TestRunNotKeptByNextHolderEnds: the fence is refused first, and the next holder's word comes then.
func TestRunNotKeptByNextHolderEnds(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	o := h.addThirdEntry()
	h.lease.offeredTo, h.lease.offeredAt, h.lease.lastOffer = o.id, h.now, 1 // offered before the run began, without an answer yet
	fence := h.lease.fence + fencesPerMilli
	h.step(cornelwall.PollResult{Endpoint: "x1", Fence: h.lease.fence, Seq: h.lease.lastPoll, Refusal: cornelwall.RefusedFence})
	assert.Assert(t, h.c.endpoints["x1"].lease == nil)
	o.send(cornelwall.Message{EndpointAcquired: &cornelwall.EndpointAcquired{Session: h.c.peers[o.id].session, Endpoint: "x1", Fence: fence}})
	o.advance(10 * time.Second)
	assert.Equal(t, len(h.results), 1, "its owner never hears of it")
}

// TestStartRefusedByFenceIsUnstarted: it need not wait for the word of the next holder, which knows nothing of it.
func TestStartRefusedByFenceIsUnstarted(t *testing.T) {
	for _, offered := range []bool{false, true} {
		h := newTestHolder(t)
		o := h.addThirdEntry()
		if offered {
			h.lease.offeredTo, h.lease.offeredAt, h.lease.lastOffer = o.id, h.now, 1
		}
		h.answerOrder(false, cornelwall.RefusedFence, 30*time.Second)
		assert.Assert(t, h.c.endpoints["x1"].lease == nil)
		assert.Equal(t, len(h.results), 1, "offered: %t", offered)
		assert.Equal(t, h.results[0].End, cornelwall.RunUnstarted)
	}
}

// TestHandedOverRunIsDroppedIfEndpointIsSilent: an endpoint that never answers its next holder keeps no run for ever.
func TestHandedOverRunIsDroppedIfEndpointIsSilent(t *testing.T) {
	h := newTestHolder(t)
	o := h.addThirdEntry()
	run := cornelwall.RunID{Task: "b.0.0.0", Run: 7}
	info := h.endpointInfo(netip.MustParseAddrPort("10.0.0.2:7001"))
	info.ID = "x2"
	h.c.addEndpoint(info)
	o.sendHandover(info, 5, run)
	assert.Assert(t, h.c.runs[run] != nil)
	o.advance(time.Minute)
	assert.Assert(t, h.c.runs[run] == nil, "kept for ever, with the endpoint")
}

// TestHandedOverRunIsDroppedIfFenceIsRefused: as above, for one that a third entry has taken meanwhile.
func TestHandedOverRunIsDroppedIfFenceIsRefused(t *testing.T) {
	h := newTestHolder(t)
	o := h.addThirdEntry()
	run := cornelwall.RunID{Task: "b.0.0.0", Run: 7}
	info := h.endpointInfo(netip.MustParseAddrPort("10.0.0.2:7001"))
	info.ID = "x2"
	h.c.addEndpoint(info)
	o.sendHandover(info, 5, run)
	l := h.c.endpoints["x2"].lease
	o.step(cornelwall.PollResult{Endpoint: "x2", Fence: l.fence, Seq: l.lastPoll, Refusal: cornelwall.RefusedFence})
	assert.Equal(t, l.phase, phaseSuperseded)
	o.advance(time.Minute)
	assert.Assert(t, h.c.runs[run] == nil, "kept for ever")
}

// TestRunIsDroppedIfRestartedEndpointIsSilent: as above, after the platform's list has told of a restart.
func TestRunIsDroppedIfRestartedEndpointIsSilent(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	h.step(cornelwall.MembersListed{List: []cornelwall.Member{{ID: h.owner, Addr: h.addr}}})
	info := h.endpointInfo(h.addr)
	info.Boot = 2
	h.step(cornelwall.EndpointsListed{Revision: 1, List: []cornelwall.Endpoint{info}})
	h.step(cornelwall.EndpointsListed{Revision: 2})
	h.advance(time.Minute)
	assert.Assert(t, h.c.runs[h.run] == nil, "kept for ever, with the endpoint")
	assert.Assert(t, h.c.endpoints["x1"] == nil, "it is off the list for long")
}

// TestLapseAfterUndetectedRestartWaitsForLongestLease: as TestLapseOfUnnoticedBoot, without any answer.
func TestLapseAfterUndetectedRestartWaitsForLongestLease(t *testing.T) {
	h := newTestHolder(t)
	h.checkLapseAfterLongestLease(t)
}

// TestStopRefusedAtOldAddressEndsNoRun: as TestOldAddressOfMovedEndpoint, for the answer to an order.
func TestStopRefusedAtOldAddressEndsNoRun(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	moved := h.endpointInfo(netip.MustParseAddrPort("10.0.0.2:7001"))
	moved.Boot = 2
	h.step(cornelwall.EndpointsListed{Revision: 1, List: []cornelwall.Endpoint{moved}})
	h.answerPoll(h.lease.fence, 2, 500*time.Millisecond, h.run)
	h.step(cornelwall.OrderResult{Endpoint: "x1", Fence: h.lease.firstFence, Run: h.run, Stop: true, Refusal: cornelwall.RefusedBoot})
	assert.Equal(t, len(h.results), 0)
}

// TestPollSentBeforeStopReplyEndsNoRun: the start may be carried out between the look and the stop.
func TestPollSentBeforeStopReplyEndsNoRun(t *testing.T) {
	h := newTestHolder(t)
	h.advance(200 * time.Millisecond)
	h.answerOrder(false, cornelwall.RefusedUnknown, 0)
	early := h.lease.lastPoll
	h.answerOrder(true, cornelwall.RefusedNone, 30200*time.Millisecond)
	looked := cornelwall.PollResult{Endpoint: "x1", Fence: h.lease.fence, Seq: early, Boot: 1, Clock: 30200 * time.Millisecond}
	h.step(looked)
	assert.Equal(t, len(h.results), 0, "said to be over by a look from before the stop")
	looked.Seq++
	h.step(looked)
	assert.Equal(t, len(h.results), 1)
}

// TestOvertakenStartReplyIsNoRestart: the answer to a start comes after one to a later look.
func TestOvertakenStartReplyIsNoRestart(t *testing.T) {
	h := newTestHolder(t)
	fence := h.lease.fence
	h.advance(300 * time.Millisecond)
	h.answerPoll(fence, 1, 30300*time.Millisecond, h.run)
	h.answerOrder(false, cornelwall.RefusedNone, 30001*time.Millisecond)
	assert.Equal(t, h.lease.fence, fence, "the endpoint is taken anew")
}

// TestRestartIsDetectedFromStopReply: its answer shows a clock that is past the start and short of the stop.
func TestRestartIsDetectedFromStopReply(t *testing.T) {
	h := newTestHolder(t)
	fence := h.lease.fence
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	h.advance(400 * time.Millisecond)
	h.receive(cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{h.run}}})
	h.answerOrder(true, cornelwall.RefusedNone, 30200*time.Millisecond)
	assert.Assert(t, h.lease.fence > fence)
}

// TestHandoverDoesNotCountAsOwnerProof: a run that changes hands is over, also by the end of the lease alone, before its owner may
// give it up, which has heard neither of its holders.
func TestHandoverDoesNotCountAsOwnerProof(t *testing.T) {
	for _, quiet := range []time.Duration{100 * time.Millisecond, 180 * time.Millisecond, proofTTL - tickInterval} {
		t.Run(quiet.String(), func(t *testing.T) { testHandoverDoesNotCountAsOwnerProof(t, quiet) })
	}
}

// testHandoverDoesNotCountAsOwnerProof hands a run on whose owner has been quiet for a while.
func testHandoverDoesNotCountAsOwnerProof(t *testing.T, quiet time.Duration) {
	h := newTestHolder(t)
	o := h.addThirdEntry()
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	owner := h.c.peers[h.owner]
	proven := owner.provenAt
	owner.leaving = true // so that the endpoint is not offered to it
	offer := func() *cornelwall.Handover {
		for _, m := range o.received {
			if m.Handover != nil {
				return m.Handover
			}
		}
		return nil
	}
	for h.now.Sub(proven) < quiet {
		h.now = h.now.Add(tickInterval)
		o.step(cornelwall.Tick{})
		o.sendHeartbeat()
	}
	o.step(cornelwall.Stop{})
	assert.Assert(t, offer() != nil, "the endpoint is offered with its run")

	next := newTestHolder(t)
	next.now = h.now.Add(maxAssignDelay)
	next.c.peers[next.owner].provenAt = time.Time{} // it has never proved anything here
	for next.c.now.Before(next.now) {
		next.c.Step(next.c.now.Add(tickInterval), cornelwall.Tick{})
	}
	m := *offer()
	from := next.addThirdEntry()
	m.Session, m.Endpoint.ID, m.Runs[0].RunID.Task = next.c.peers[from.id].session, "x2", "b.0.0.0"
	from.send(cornelwall.Message{Handover: &m})
	run := m.Runs[0].RunID
	l := next.c.endpoints["x2"].lease
	if next.c.runs[run] == nil { // then the endpoint is told to stop it, and nothing extends its lease before
		from.polls = nil
		from.step(cornelwall.PollResult{Endpoint: "x2", Fence: l.fence, Seq: l.lastPoll, Boot: 1, Clock: 30 * time.Second, Running: []cornelwall.RunState{{RunID: run}}})
		from.advance(time.Second)
		assert.Equal(t, from.stops[0].Run, run)
		for _, look := range from.polls {
			assert.Assert(t, look.Endpoint.ID != "x2" || look.LeaseUntil == 0)
		}
		return
	}
	from.step(cornelwall.PollResult{Endpoint: "x2", Fence: l.fence, Seq: l.lastPoll, Boot: 1, Clock: 30 * time.Second, Running: []cornelwall.RunState{{RunID: run}}})
	for range 100 {
		if next.c.runs[run].state != runStopping {
			next.now = next.now.Add(tickInterval)
			from.step(cornelwall.Tick{})
		}
	}
	over := next.now.Add(stopRetryInterval + confirmPollInterval + leaseTTL + next.c.cfg.Limits.StopDelay)
	assert.Assert(t, over.Before(proven.Add(holderTimeout)), "over %s after its owner may have heard of it last", over.Sub(proven))
}
