package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestRestartWithLowerBootIsNoticed restarts an endpoint whose time of day has jumped back:
// its new life has the lower name and is noticed all the same. An answer from before is not
// taken for another restart.
func TestRestartWithLowerBootIsNoticed(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr}, now)
	ep := c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}})
	c.acquire(ep, nil)
	l := ep.lease
	answer := func(number uint64, boot int64) {
		c.Step(now, cornelwall.PollResult{Endpoint: "x1", Fence: l.fence, Seq: number, Boot: boot, Clock: time.Second})
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
	assert.Equal(t, l.boot, int64(2600), "an answer to a look from before")
	answer(l.lastPoll, 2600)
	assert.Equal(t, l.phase, phaseReady)
	assert.Equal(t, len(l.runs), 0, "what ran there is gone")
}

// TestAcquisitionRetriesAboveHigherFence takes an endpoint whose last holder had a clock that was ahead.
func TestAcquisitionRetriesAboveHigherFence(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr}, now)
	known := uint64(now.Add(2400*time.Millisecond).UnixMilli()) * fencesPerMilli
	c.Step(now, cornelwall.EndpointsListed{Revision: 1, List: []cornelwall.Endpoint{{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}}}})
	tries := 0
	for end := now.Add(maxSettleTime + 2*retakeDelay); now.Before(end) && c.Held() == 0 || tries < 2; {
		now = now.Add(tickInterval)
		for _, cmd := range c.Step(now, cornelwall.Tick{}) {
			look, ok := cmd.(cornelwall.PollEndpoint)
			if !ok {
				continue
			}
			tries++
			refusal := cornelwall.RefusedNone
			if look.Fence < known {
				refusal = cornelwall.RefusedFence
			}
			c.Step(now, cornelwall.PollResult{Endpoint: "x1", Fence: look.Fence, Seq: look.Seq, Boot: 1, Clock: time.Second, Refusal: refusal})
		}
	}
	assert.Equal(t, tries, 2)
	assert.Equal(t, c.endpoints["x1"].lease.phase, phaseReady)
}
