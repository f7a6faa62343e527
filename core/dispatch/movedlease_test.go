package dispatch

import (
	"net/netip"
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
	assert.Equal(t, len(h.c.crashes.byRun), 0, "the record counts as a crash of the endpoint")
	running := []cornelwall.RunState{{RunID: h.starts[0].Run}}
	h.step(cornelwall.PollResult{Endpoint: "x1", Fence: l.fence, Seq: l.lastPoll, Boot: 2, Clock: time.Second, Running: running})
	h.list(func(e *cornelwall.Endpoint) { e.Boot = 2 })
	assert.Equal(t, len(h.c.crashes.byRun), 0)
	assert.Equal(t, len(l.runs), 1)
}
