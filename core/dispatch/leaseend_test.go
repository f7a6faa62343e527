package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// thirdEntry is a third entry that exchanges messages with a testHolder.
type thirdEntry struct {
	h        *testHolder
	id       cornelwall.Incarnation
	lastSeq  uint64
	received []cornelwall.Message
	polls    []cornelwall.PollEndpoint
	stops    []cornelwall.StopRun
}

func (h *testHolder) addThirdEntry() *thirdEntry {
	e := &thirdEntry{h: h, id: cornelwall.Incarnation{DataCentre: "dc0", Entry: "e3", Epoch: 1}}
	e.sendHeartbeat()
	e.sendHeartbeat()
	return e
}

func (e *thirdEntry) sendHeartbeat() {
	e.lastSeq++
	m := cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: e.h.addr, Seq: e.lastSeq, Session: 8}}
	if p := e.h.c.peers[e.id]; p != nil {
		m.SessionHeartbeat.AckedSeq = p.sentSeq
	}
	e.send(m)
}

func (e *thirdEntry) send(m cornelwall.Message) {
	e.step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: e.id, Messages: []cornelwall.Message{m}}})
}

func (e *thirdEntry) step(ev cornelwall.Event) {
	for _, cmd := range e.h.c.Step(e.h.now, ev) {
		switch cmd := cmd.(type) {
		case cornelwall.Send:
			if cmd.To == e.id {
				e.received = append(e.received, cmd.Message)
			}
			if cmd.To == e.h.owner && cmd.Message.RunResults != nil {
				e.h.results = append(e.h.results, cmd.Message.RunResults.Runs...)
			}
		case cornelwall.PollEndpoint:
			e.polls = append(e.polls, cmd)
		case cornelwall.StopRun:
			e.stops = append(e.stops, cmd)
		}
	}
}

// advance lets time pass while both the owner and the third entry answer the holder's heartbeats.
func (e *thirdEntry) advance(d time.Duration) {
	for end := e.h.now.Add(d); e.h.now.Before(end); {
		e.h.now = e.h.now.Add(tickInterval)
		e.step(cornelwall.Tick{})
		e.h.sendOwnerHeartbeat(e.h.c.peers[e.h.owner].sentSeq)
		e.sendHeartbeat()
	}
}

func (e *thirdEntry) sendHandover(info cornelwall.Endpoint, fence uint64, run cornelwall.RunID) {
	e.send(cornelwall.Message{Handover: &cornelwall.Handover{
		Session: e.h.c.peers[e.id].session, Endpoint: info, Fence: fence, Offer: 1,
		Runs: []cornelwall.HandoverRun{{RunID: run, Owner: e.h.owner, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second}},
	}})
}

// TestOfferWithNewAddressEndsNoRun offers an endpoint at a new address to an entry that knows only
// the old one. If the entry polls the old address, the refusal there must not end the run at the
// new address.
func TestOfferWithNewAddressEndsNoRun(t *testing.T) {
	h := newTestHolder(t)
	third := h.addThirdEntry()
	run := cornelwall.RunID{Task: "b.0.0.0", Run: 7}
	old := h.endpointInfo(netip.MustParseAddrPort("10.0.0.2:7001"))
	old.ID = "x2"
	h.c.addEndpoint(old)
	moved := old
	moved.Addr, moved.Boot = netip.MustParseAddrPort("10.0.0.3:7001"), 2
	third.polls = nil
	third.sendHandover(moved, 5, run)
	for _, poll := range third.polls {
		if poll.Endpoint.Addr == old.Addr {
			h.step(cornelwall.PollResult{Endpoint: "x2", Fence: poll.Fence, Seq: poll.Seq, Refusal: cornelwall.RefusedBoot})
		}
	}
	assert.Equal(t, len(h.results), 0, "a run at the new address is reported as ended")
}

// TestEndsOfEarlierBootAreNotAcknowledged detects a restart from the clock in a start reply and
// then gets the answer to a poll of the earlier boot. The number of an end that the earlier boot
// lists must not be acknowledged to the new boot, which would drop ends of its own.
func TestEndsOfEarlierBootAreNotAcknowledged(t *testing.T) {
	h := newTestHolder(t)
	third := h.addThirdEntry()
	third.advance(40 * time.Millisecond)
	early := h.lease.lastPoll
	assert.Assert(t, early > 1, "no poll is open")
	fence := h.lease.fence
	h.answerOrder(false, cornelwall.RefusedNone, 10*time.Millisecond)
	assert.Assert(t, h.lease.fence > fence, "the restart is not detected from the clock")
	third.polls = nil
	third.step(cornelwall.PollResult{
		Endpoint: "x1", Fence: fence, Seq: early, Boot: 1, Clock: 30050 * time.Millisecond,
		Ended: []cornelwall.RunEnded{{Seq: 9, RunID: cornelwall.RunID{Task: "z.0.0.0", Run: 1}, End: cornelwall.RunDone}},
	})
	third.advance(4 * pollRetryInterval)
	assert.Assert(t, len(third.polls) > 0)
	for _, poll := range third.polls {
		assert.Equal(t, poll.AckedEnd, int64(0), "the new boot drops ends that have not been processed")
	}
}

// TestStopIsSentAgainToNewBoot restarts an endpoint that has acknowledged a stop, and lets the
// start arrive after the restart. The stop that the earlier boot acknowledged has no effect on that
// run, so it must be sent again.
func TestStopIsSentAgainToNewBoot(t *testing.T) {
	h := newTestHolder(t)
	third := h.addThirdEntry()
	fence := h.lease.fence
	h.advance(200 * time.Millisecond)
	h.answerOrder(false, cornelwall.RefusedUnknown, 0)
	h.answerOrder(true, cornelwall.RefusedNone, 30200*time.Millisecond)
	h.now = h.now.Add(10 * time.Millisecond)
	h.answerPoll(fence, 2, 5*time.Millisecond, h.run) // the start arrived late, at the new boot
	assert.Assert(t, h.lease.fence > fence)
	h.now = h.now.Add(10 * time.Millisecond)
	h.answerPoll(h.lease.fence, 2, 15*time.Millisecond, h.run)
	third.advance(2 * stopRetryInterval)
	assert.Assert(t, len(third.stops) > 0, "without a stop, the run ends only with the lease, as do all other runs there")
	assert.Equal(t, third.stops[0].Fence, h.lease.fence)
}

// TestFenceRefusalIsNoRestart refuses a start for its fence, with a clock that has gone back. The
// endpoint has another holder, so this entry must give up its lease instead of acquiring the
// endpoint again as after a restart.
func TestFenceRefusalIsNoRestart(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedFence, 10*time.Millisecond)
	assert.Assert(t, h.c.endpoints["x1"].lease == nil, "the endpoint is acquired again from its new holder")
}

// TestWithdrawalIsNotReturnedToSender withdraws a run which each of two entries has transferred to
// the other. They must not forward the withdrawal to each other forever.
func TestWithdrawalIsNotReturnedToSender(t *testing.T) {
	h := newTestHolder(t)
	third := h.addThirdEntry()
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	fence := h.lease.fence + fencesPerMilli
	third.send(cornelwall.Message{EndpointAcquired: &cornelwall.EndpointAcquired{
		Session: h.c.peers[third.id].session, Endpoint: "x1", Fence: fence, Kept: []cornelwall.RunID{h.run},
	}})
	assert.Assert(t, h.c.endpoints["x1"].lease == nil)
	third.received = nil
	third.send(cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{h.run}, MayHaveStarted: true}})
	for _, m := range third.received {
		assert.Assert(t, m.Withdraw == nil, "the withdrawal goes back to the entry that sent it")
	}
}

// TestRunNotKeptByNextHolderEnds refuses the fence of a holder before the next holder announces
// that it has not kept the run. The owner must get the result of that run.
func TestRunNotKeptByNextHolderEnds(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	third := h.addThirdEntry()
	h.lease.offeredTo, h.lease.offeredAt, h.lease.lastOffer = third.id, h.now, 1 // offered before the run started, and not answered yet
	fence := h.lease.fence + fencesPerMilli
	h.step(cornelwall.PollResult{Endpoint: "x1", Fence: h.lease.fence, Seq: h.lease.lastPoll, Refusal: cornelwall.RefusedFence})
	assert.Assert(t, h.c.endpoints["x1"].lease == nil)
	third.send(cornelwall.Message{EndpointAcquired: &cornelwall.EndpointAcquired{Session: h.c.peers[third.id].session, Endpoint: "x1", Fence: fence}})
	third.advance(10 * time.Second)
	assert.Equal(t, len(h.results), 1, "the owner never gets the result")
}

// TestStartRefusedByFenceIsUnstarted refuses a start for its fence. The run must be reported as
// unstarted without waiting for the announcement of the next holder, which does not know the run.
func TestStartRefusedByFenceIsUnstarted(t *testing.T) {
	for _, offered := range []bool{false, true} {
		h := newTestHolder(t)
		third := h.addThirdEntry()
		if offered {
			h.lease.offeredTo, h.lease.offeredAt, h.lease.lastOffer = third.id, h.now, 1
		}
		h.answerOrder(false, cornelwall.RefusedFence, 30*time.Second)
		assert.Assert(t, h.c.endpoints["x1"].lease == nil)
		assert.Equal(t, len(h.results), 1, "offered: %t", offered)
		assert.Equal(t, h.results[0].End, cornelwall.RunUnstarted)
	}
}

// TestHandedOverRunIsDroppedIfEndpointIsSilent hands over an endpoint that never answers its next
// holder, which must not keep the run forever.
func TestHandedOverRunIsDroppedIfEndpointIsSilent(t *testing.T) {
	h := newTestHolder(t)
	third := h.addThirdEntry()
	run := cornelwall.RunID{Task: "b.0.0.0", Run: 7}
	info := h.endpointInfo(netip.MustParseAddrPort("10.0.0.2:7001"))
	info.ID = "x2"
	h.c.addEndpoint(info)
	third.sendHandover(info, 5, run)
	assert.Assert(t, h.c.runs[run] != nil)
	third.advance(time.Minute)
	assert.Assert(t, h.c.runs[run] == nil, "the run and its endpoint are kept forever")
}

// TestHandedOverRunIsDroppedIfFenceIsRefused hands over an endpoint that a third entry has acquired
// meanwhile. The next holder must not keep the run forever.
func TestHandedOverRunIsDroppedIfFenceIsRefused(t *testing.T) {
	h := newTestHolder(t)
	third := h.addThirdEntry()
	run := cornelwall.RunID{Task: "b.0.0.0", Run: 7}
	info := h.endpointInfo(netip.MustParseAddrPort("10.0.0.2:7001"))
	info.ID = "x2"
	h.c.addEndpoint(info)
	third.sendHandover(info, 5, run)
	l := h.c.endpoints["x2"].lease
	third.step(cornelwall.PollResult{Endpoint: "x2", Fence: l.fence, Seq: l.lastPoll, Refusal: cornelwall.RefusedFence})
	assert.Equal(t, l.phase, phaseSuperseded)
	third.advance(time.Minute)
	assert.Assert(t, h.c.runs[run] == nil, "the run is kept forever")
}

// TestRunIsDroppedIfRestartedEndpointIsSilent lists a restart of an endpoint, which then answers
// nothing and leaves the platform's list. The holder must not keep the run and the endpoint
// forever.
func TestRunIsDroppedIfRestartedEndpointIsSilent(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	h.step(cornelwall.MembersListed{List: []cornelwall.Member{{ID: h.owner, Addr: h.addr}}})
	info := h.endpointInfo(h.addr)
	info.Boot = 2
	h.step(cornelwall.EndpointsListed{Revision: 1, List: []cornelwall.Endpoint{info}})
	h.step(cornelwall.EndpointsListed{Revision: 2})
	h.advance(time.Minute)
	assert.Assert(t, h.c.runs[h.run] == nil, "the run and its endpoint are kept forever")
	assert.Assert(t, h.c.endpoints["x1"] == nil, "the endpoint is kept although it left the list long ago")
}

// TestLapseAfterUndetectedRestartWaitsForLongestLease is TestLapseAfterRestartWaitsForLongestLease
// for an endpoint that answers nothing after its restart, so that the holder does not detect it.
func TestLapseAfterUndetectedRestartWaitsForLongestLease(t *testing.T) {
	h := newTestHolder(t)
	h.checkLapseAfterLongestLease(t)
}

// TestLapseAfterUndetectedRestartOfUsedEndpointWaitsForLongestLease is the same for an endpoint that
// this entry has used before, so that it knows how far the lease was extended.
func TestLapseAfterUndetectedRestartOfUsedEndpointWaitsForLongestLease(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	h.step(cornelwall.PollResult{
		Endpoint: "x1", Fence: h.lease.fence, Seq: h.lease.lastPoll, Boot: 1, Clock: 30*time.Second + 10*time.Millisecond,
		Ended: []cornelwall.RunEnded{{Seq: 1, RunID: h.run, End: cornelwall.RunDone}},
	})
	for range 30 {
		h.advance(100 * time.Millisecond)
		h.answerPoll(h.lease.fence, 1, h.lease.clock+100*time.Millisecond)
	}
	h.results, h.run.Run = nil, 2
	h.assign(t)
	h.checkLapseAfterLongestLease(t)
}

// TestStopRefusedAtOldAddressEndsNoRun is TestPollRefusedAtOldAddressEndsNoRun for the answer to a
// stop.
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

// TestPollSentBeforeStopReplyEndsNoRun answers a poll that was sent before the reply to a stop was
// handled. The endpoint may carry out the start between that poll and the stop, so only a later
// poll may end the run.
func TestPollSentBeforeStopReplyEndsNoRun(t *testing.T) {
	h := newTestHolder(t)
	h.advance(200 * time.Millisecond)
	h.answerOrder(false, cornelwall.RefusedUnknown, 0)
	early := h.lease.lastPoll
	h.answerOrder(true, cornelwall.RefusedNone, 30200*time.Millisecond)
	result := cornelwall.PollResult{Endpoint: "x1", Fence: h.lease.fence, Seq: early, Boot: 1, Clock: 30200 * time.Millisecond}
	h.step(result)
	assert.Equal(t, len(h.results), 0, "a poll from before the stop ends the run")
	result.Seq++
	h.step(result)
	assert.Equal(t, len(h.results), 1)
}

// TestOvertakenStartReplyIsNoRestart delivers a start reply after the answer to a later poll. Its
// older clock reading must not count as a restart.
func TestOvertakenStartReplyIsNoRestart(t *testing.T) {
	h := newTestHolder(t)
	fence := h.lease.fence
	h.advance(300 * time.Millisecond)
	h.answerPoll(fence, 1, 30300*time.Millisecond, h.run)
	h.answerOrder(false, cornelwall.RefusedNone, 30001*time.Millisecond)
	assert.Equal(t, h.lease.fence, fence, "the endpoint is acquired again")
}

// TestRestartIsDetectedFromStopReply answers a stop with a clock that is ahead of the start but
// behind the time at which the stop was sent. This must count as a restart.
func TestRestartIsDetectedFromStopReply(t *testing.T) {
	h := newTestHolder(t)
	fence := h.lease.fence
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	h.advance(400 * time.Millisecond)
	h.receive(cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{h.run}}})
	h.answerOrder(true, cornelwall.RefusedNone, 30200*time.Millisecond)
	assert.Assert(t, h.lease.fence > fence)
}

// TestHandoverDoesNotCountAsOwnerProof hands over a run whose owner has been silent for a while and
// may have heard neither of the two holders. The run must end, even if only by the end of the
// lease, before its owner may give it up.
func TestHandoverDoesNotCountAsOwnerProof(t *testing.T) {
	for _, silence := range []time.Duration{100 * time.Millisecond, 180 * time.Millisecond, proofTTL - tickInterval} {
		t.Run(silence.String(), func(t *testing.T) { testHandoverDoesNotCountAsOwnerProof(t, silence) })
	}
}

// testHandoverDoesNotCountAsOwnerProof hands over a run whose owner has been silent for the given
// time.
func testHandoverDoesNotCountAsOwnerProof(t *testing.T, silence time.Duration) {
	h := newTestHolder(t)
	third := h.addThirdEntry()
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	owner := h.c.peers[h.owner]
	proven := owner.provenAt
	owner.leaving = true // so that the endpoint is not offered to it
	offer := func() *cornelwall.Handover {
		for _, m := range third.received {
			if m.Handover != nil {
				return m.Handover
			}
		}
		return nil
	}
	for h.now.Sub(proven) < silence {
		h.now = h.now.Add(tickInterval)
		third.step(cornelwall.Tick{})
		third.sendHeartbeat()
	}
	third.step(cornelwall.Stop{})
	assert.Assert(t, offer() != nil, "the endpoint is not offered with its run")

	next := newTestHolder(t)
	next.now = h.now.Add(maxAssignDelay)
	next.c.peers[next.owner].provenAt = time.Time{} // the owner has never given a proof to this entry
	for next.c.now.Before(next.now) {
		next.c.Step(next.c.now.Add(tickInterval), cornelwall.Tick{})
	}
	m := *offer()
	from := next.addThirdEntry()
	m.Session, m.Endpoint.ID, m.Runs[0].RunID.Task = next.c.peers[from.id].session, "x2", "b.0.0.0"
	from.send(cornelwall.Message{Handover: &m})
	run := m.Runs[0].RunID
	l := next.c.endpoints["x2"].lease
	if next.c.runs[run] == nil { // not kept: it must be stopped, and the lease not be extended before
		from.polls = nil
		from.step(cornelwall.PollResult{Endpoint: "x2", Fence: l.fence, Seq: l.lastPoll, Boot: 1, Clock: 30 * time.Second, Running: []cornelwall.RunState{{RunID: run}}})
		from.advance(time.Second)
		assert.Equal(t, from.stops[0].Run, run)
		for _, poll := range from.polls {
			assert.Assert(t, poll.Endpoint.ID != "x2" || poll.LeaseUntil == 0)
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
	endsAt := next.now.Add(stopRetryInterval + confirmPollInterval + leaseTTL + next.c.cfg.Limits.StopDelay)
	assert.Assert(t, endsAt.Before(proven.Add(holderTimeout)), "ends %s after its owner may last have heard of it", endsAt.Sub(proven))
}
