package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestRestartWithLowerBootIsNoticed restarts an endpoint whose time of day has jumped back, so that
// its new boot has the lower number. The restart must still be detected, and a late answer to a
// poll from before it must not count as another restart.
func TestRestartWithLowerBootIsNoticed(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr}, now)
	ep := c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}})
	c.acquire(ep, nil)
	l := ep.lease
	answer := func(seq uint64, boot int64) {
		c.Step(now, cornelwall.PollResult{Endpoint: "x1", Fence: l.fence, Seq: seq, Boot: boot, Clock: time.Second})
	}
	answer(l.lastPoll, 5000)
	assert.Equal(t, l.phase, phaseReady)
	r := &run{id: cornelwall.RunID{Task: "a.0.0.0", Run: 1}, owner: self, state: runRunning, receivedAt: now, startedAt: now, endProofPoll: l.lastPoll + 1}
	r.Estimate = time.Second
	c.runs[r.id] = r
	l.addRun(r)
	before := l.lastPoll
	c.poll(l, 0)
	now = now.Add(100 * time.Millisecond)
	answer(l.lastPoll, 2600)
	assert.Equal(t, l.boot, int64(2600))
	now = now.Add(10 * time.Millisecond)
	answer(before, 5000)
	assert.Equal(t, l.boot, int64(2600), "the answer to a poll from before the restart counts as another restart")
	answer(l.lastPoll, 2600)
	assert.Equal(t, l.phase, phaseReady)
	assert.Equal(t, len(l.runs), 0, "the runs from before the restart are kept")
}

// TestAcquisitionRetriesAboveHigherFence acquires an endpoint that has seen a higher fence, as the
// clock of its last holder was ahead. The first fence is refused, and the second must be high
// enough.
func TestAcquisitionRetriesAboveHigherFence(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr}, now)
	seenFence := uint64(now.Add(2400*time.Millisecond).UnixMilli()) * fencesPerMilli
	c.Step(now, cornelwall.EndpointsListed{Revision: 1, List: []cornelwall.Endpoint{{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}}}})
	attempts := 0
	for end := now.Add(maxSettleTime + 2*retakeDelay); now.Before(end) && c.Held() == 0 || attempts < 2; {
		now = now.Add(tickInterval)
		for _, cmd := range c.Step(now, cornelwall.Tick{}) {
			poll, ok := cmd.(cornelwall.PollEndpoint)
			if !ok {
				continue
			}
			attempts++
			refusal := cornelwall.RefusedNone
			if poll.Fence < seenFence {
				refusal = cornelwall.RefusedFence
			}
			c.Step(now, cornelwall.PollResult{Endpoint: "x1", Fence: poll.Fence, Seq: poll.Seq, Boot: 1, Clock: time.Second, Refusal: refusal})
		}
	}
	assert.Equal(t, attempts, 2)
	assert.Equal(t, c.endpoints["x1"].lease.phase, phaseReady)
}
