package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/policy"
)

// TestResubmittedBatchIsNotRefusedAsNotRun submits batches that an entry refuses on arrival, and submits them again while a run of an
// earlier submission may not have ended. They were answered "not run" then, too. What cannot be done must be given up, and what
// would only wait for others must be taken.
func TestResubmittedBatchIsNotRefusedAsNotRun(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	queues := &cornelwall.QueueConfig{Version: 1, Queues: []cornelwall.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Attempts: 2, Timeout: 9 * time.Second, Stretch: 1}}}
	queued := func(work int) func(*Core, *cornelwall.SubmitBatch) {
		return func(c *Core, _ *cornelwall.SubmitBatch) {
			c.peersByID[0].view = policy.HolderView{Capacity: cornelwall.FreeCapacity{Total: 1000, Queued: []int{work}}}
		}
	}
	for _, tc := range []struct {
		name  string
		shed  bool
		setUp func(*Core, *cornelwall.SubmitBatch)
		why   cornelwall.Reason
		taken bool
	}{
		{"no configuration", false, func(c *Core, _ *cornelwall.SubmitBatch) { c.queueConfig = &cornelwall.QueueConfig{} }, cornelwall.ReasonNoProfile, false},
		{"stopping", false, func(c *Core, _ *cornelwall.SubmitBatch) { c.stoppingSince = c.now.Add(-time.Minute) }, cornelwall.ReasonStopping, false},
		{"too late", false, func(_ *Core, ev *cornelwall.SubmitBatch) { ev.TimeLeft = 20 * time.Millisecond }, cornelwall.ReasonTooLate, false},
		{"all evacuated", false, func(c *Core, _ *cornelwall.SubmitBatch) {
			c.Step(c.now, cornelwall.EvacuationsRead{Revision: 7, List: []cornelwall.Evacuation{{DataCentre: "dc0", Revision: 7, Active: true}}})
		}, cornelwall.ReasonEvacuated, false},
		{"full", false, queued(1000 * 60_000), cornelwall.ReasonQueueFull, true},
		{"shed", true, queued(1000 * 2000), cornelwall.ReasonShed, true},
	} {
		for _, before := range []bool{false, true} {
			now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
			c := New(Config{Self: self, Addr: addr, Shed: tc.shed, Limits: Limits{MaxLease: time.Second, StopGrace: 6 * time.Second, EvacuateTime: 5 * time.Second}}, now)
			c.Step(now, cornelwall.QueueConfigRead{Config: queues})
			p := c.getOrAddPeer(cornelwall.Member{ID: cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}, Addr: addr}, true)
			p.sessionOpen, p.provenAt, p.heardAt = true, now, now
			c.addLink(p)
			ev := cornelwall.SubmitBatch{Req: 1, Host: "h", Path: "/q/1", TimeLeft: 9 * time.Second, Batch: &cornelwall.BatchJob{
				ID: "00000000000000ab", Steps: []cornelwall.Step{{Count: 1, Need: cornelwall.Resources{Cores: 1000}, Estimate: time.Second}},
			}}
			tc.setUp(c, &ev)
			if before {
				c.awaitEnd(cornelwall.RunID{Task: ev.Batch.ID + ".0.0.0", Run: 1}, ev.Batch.ID, p.id)
			}
			var replies []cornelwall.BatchAnswer
			for _, cmd := range c.Step(now, ev) {
				if r, ok := cmd.(cornelwall.ReplyBatch); ok {
					replies = append(replies, r.Answer)
				}
			}
			if before && tc.taken {
				assert.Equal(t, len(replies), 0, "%s: %v", tc.name, replies)
				assert.Assert(t, c.jobs[ev.Batch.ID] != nil, tc.name)
				continue
			}
			want := map[bool]cornelwall.BatchEnd{false: cornelwall.BatchRefused, true: cornelwall.BatchGivenUp}[before]
			assert.Equal(t, len(replies), 1, tc.name)
			assert.Equal(t, replies[0].End, want, "%s: %v", tc.name, replies[0])
			assert.Equal(t, replies[0].Reason, tc.why, tc.name)
			assert.Equal(t, replies[0].RetryAfter > 0, !before, tc.name)
		}
	}
}
