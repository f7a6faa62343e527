package dispatch

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

var movedAddr = netip.MustParseAddrPort("10.0.0.2:7001") // another address of an endpoint than the one that its lease began with

// TestRefusalAtAddressBeforeFirstAnswerEndsNoRun acquires an endpoint at the address of an earlier boot, learns the present one, and gets
// the refusal of the endpoint at the earlier address once a run has started.
func TestRefusalAtAddressBeforeFirstAnswerEndsNoRun(t *testing.T) {
	h := newRecordHolder(t)
	l := h.c.endpoints["x1"].lease
	first := h.polls[0]
	h.list(func(e *cornelwall.Endpoint) { e.Addr, e.Boot = movedAddr, 2 })
	h.advance(pollRetryInterval)
	h.answer(2)
	h.submit(1, "")
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Endpoint.Addr, movedAddr)
	h.step(cornelwall.PollResult{Endpoint: "x1", Fence: first.Fence, Seq: first.Seq, Refusal: cornelwall.RefusedBoot})
	assert.Equal(t, len(l.runs), 1, "the refusal of another endpoint ends the run")
	assert.Assert(t, h.c.endpoints["x1"].lease == l)
}

// TestRefusalAtListedAddressEndsNoRun lists another boot at another address while an endpoint is cut off from its holder. Who
// refuses there is another endpoint, and the run goes on.
func TestRefusalAtListedAddressEndsNoRun(t *testing.T) {
	h := newRecordHolder(t)
	h.answer(1)
	h.submit(1, "a")
	l := h.c.endpoints["x1"].lease
	h.list(func(e *cornelwall.Endpoint) { e.Addr, e.Boot = movedAddr, 7 })
	h.advance(pollWait + pollMargin + 2*tickInterval)
	poll := h.polls[len(h.polls)-1]
	assert.Equal(t, poll.Endpoint.Addr, movedAddr)
	h.step(cornelwall.PollResult{Endpoint: "x1", Fence: poll.Fence, Seq: poll.Seq, Refusal: cornelwall.RefusedBoot})
	assert.Equal(t, len(l.runs), 1, "the refusal of another endpoint ends the run")
	h.polls = nil
	h.advance(pollRetryInterval + tickInterval)
	assert.Assert(t, len(h.polls) > 0)
	for _, p := range h.polls {
		assert.Equal(t, p.Endpoint.Addr, h.starts[0].Endpoint.Addr, "orders do not go back to the address that has answered")
	}
	h.advance(2 * time.Second)
	assert.Equal(t, len(l.runs), 0, "the run outlasts its lease")
	for _, x := range h.c.crashes.AtEndpoint("x1") {
		assert.Equal(t, x.State, cornelwall.CrashSuspected)
	}
}

// TestHandedOverRunIsNotEndedAtListedAddress lists another boot at another address of an endpoint that was handed over and has not answered
// yet. Another endpoint there refuses; then the endpoint answers where the previous holder had it.
func TestHandedOverRunIsNotEndedAtListedAddress(t *testing.T) {
	h := newTestHolder(t)
	third := h.addThirdEntry()
	info := h.endpointInfo(netip.MustParseAddrPort("10.0.0.3:7001"))
	info.ID, info.Boot, info.Revision = "x2", 1, 1
	h.c.addEndpoint(info)
	run := cornelwall.RunID{Task: "b.0.0.0", Run: 7}
	third.send(cornelwall.Message{Handover: &cornelwall.Handover{
		Session: h.c.peers[third.id].session, Endpoint: info, Fence: 5, Offer: 1, Boot: 1,
		Runs: []cornelwall.HandoverRun{{RunID: run, Owner: h.owner, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second}},
	}})
	l := h.c.endpoints["x2"].lease
	late := info
	late.Addr, late.Boot, late.Revision = movedAddr, 7, 2
	h.c.setEndpoint(&late, 2)
	lastPoll := func() cornelwall.PollEndpoint {
		polls := slices.DeleteFunc(slices.Clone(third.polls), func(p cornelwall.PollEndpoint) bool { return p.Endpoint.ID != "x2" })
		return polls[len(polls)-1]
	}
	refused := 0
	for range (pollWait + pollMargin + 2*pollRetryInterval) / tickInterval {
		third.advance(tickInterval)
		if p := lastPoll(); p.Endpoint.Addr == movedAddr {
			refused++
			third.step(cornelwall.PollResult{Endpoint: "x2", Fence: p.Fence, Seq: p.Seq, Refusal: cornelwall.RefusedBoot})
		}
	}
	assert.Equal(t, len(h.results), 0, "the run is reported as ended")
	assert.Equal(t, refused, 1, "orders go to the refusing address again")
	p := lastPoll()
	assert.Equal(t, p.Endpoint.Addr, info.Addr)
	third.step(cornelwall.PollResult{Endpoint: "x2", Fence: p.Fence, Seq: p.Seq, Boot: 1, Clock: time.Second, Running: []cornelwall.RunState{{RunID: run}}})
	assert.Equal(t, l.phase, phaseReady)
	assert.Assert(t, l.runs[run] != nil)
}

// TestLateRecordOfEarlierBootIsNoRestart lists the record of a boot that has ended, which the store has carried out late, while
// the present boot goes on.
func TestLateRecordOfEarlierBootIsNoRestart(t *testing.T) {
	h := newRecordHolder(t)
	h.restart(2)
	h.list(func(e *cornelwall.Endpoint) { e.Boot = 2 })
	h.submit(1, "a")
	assert.Equal(t, len(h.starts), 1)
	l := h.c.endpoints["x1"].lease
	h.step(cornelwall.OrderResult{Endpoint: "x1", Fence: l.fence, Run: h.starts[0].Run, Clock: time.Second})
	h.list(func(e *cornelwall.Endpoint) { e.Boot = 1 })
	assert.Equal(t, h.c.crashes.LastChange(), uint64(0), "the record counts as a crash of the endpoint")
	running := []cornelwall.RunState{{RunID: h.starts[0].Run}}
	h.step(cornelwall.PollResult{Endpoint: "x1", Fence: l.fence, Seq: l.lastPoll, Boot: 2, Clock: time.Second, Running: running})
	h.list(func(e *cornelwall.Endpoint) { e.Boot = 2 })
	assert.Equal(t, h.c.crashes.LastChange(), uint64(0))
	assert.Equal(t, len(l.runs), 1)
}
