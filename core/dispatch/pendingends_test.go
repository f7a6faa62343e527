package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestResubmittedBatchWaitsForStoppingRuns submits a batch again just after its caller has left.
// The task must not run again before its first run, which is being stopped, has ended.
func TestResubmittedBatchWaitsForStoppingRuns(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	c := New(Config{Self: self, Addr: addr, MaxMeshPeers: -1, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, now)
	var starts []cornelwall.StartRun
	step := func(ev cornelwall.Event) {
		for _, cmd := range c.Step(now, ev) {
			if start, ok := cmd.(cornelwall.StartRun); ok {
				starts = append(starts, start)
			}
		}
	}
	submit := func(req uint64) {
		step(cornelwall.SubmitBatch{Req: req, Host: "h", Path: "/q/1", TimeLeft: 9 * time.Second, Batch: &cornelwall.BatchJob{
			ID: "00000000000000ab", Steps: []cornelwall.Step{{Count: 1, Need: cornelwall.Resources{Cores: 9000}, Estimate: 3 * time.Second}},
		}})
	}
	step(cornelwall.QueueConfigRead{Config: &cornelwall.QueueConfig{Version: 1, Queues: []cornelwall.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Attempts: 2, Timeout: 9 * time.Second, Stretch: 40}}}})
	for _, id := range []string{"x1", "x2"} {
		ep := c.addEndpoint(cornelwall.Endpoint{ID: id, Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}})
		c.acquire(ep, nil)
		step(cornelwall.PollResult{Endpoint: id, Fence: ep.lease.fence, Seq: ep.lease.lastPoll, Boot: 1, Clock: time.Second})
	}
	submit(1)
	assert.Equal(t, len(starts), 1)
	first := starts[0]
	now = now.Add(tickInterval)
	step(cornelwall.OrderResult{Endpoint: first.Endpoint.ID, Fence: first.Fence, Run: first.Run, Clock: time.Second})
	now = now.Add(tickInterval)
	step(cornelwall.CallerGone{Req: 1})
	submit(2)
	assert.Assert(t, c.runs[first.Run] != nil, "the first run counts as ended while it is being stopped")
	assert.Equal(t, len(starts), 1, "the task runs again while its first run is being stopped")

	step(cornelwall.PollResult{
		Endpoint: first.Endpoint.ID, Fence: first.Fence, Seq: c.endpoints[first.Endpoint.ID].lease.lastPoll, Boot: 1, Clock: time.Second,
		Ended: []cornelwall.RunEnded{{Seq: 1, RunID: first.Run, End: cornelwall.RunStopped}},
	})
	for range 20 {
		now = now.Add(tickInterval)
		step(cornelwall.Tick{})
	}
	assert.Equal(t, len(starts), 2, "the task is never started again")
}
