package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestAssignmentFromBeforeOneWayPartitionStartsNothing delays an assignment while its owner gets no
// heartbeats of this entry for longer than holderTimeout. The owner has assigned its tasks to
// others by then, so that the late assignment must not start anything.
func TestAssignmentFromBeforeOneWayPartitionStartsNothing(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	owner := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	for after := time.Duration(0); after < peerScanInterval; after += 10 * time.Millisecond {
		c := New(Config{Self: self, Addr: addr, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, now)
		started := false
		step := func(ev cornelwall.Event) {
			for _, cmd := range c.Step(now, ev) {
				_, ok := cmd.(cornelwall.StartRun)
				started = started || ok
			}
		}
		seq := uint64(0)
		receive := func(m cornelwall.Message) {
			step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: owner, To: self, Messages: []cornelwall.Message{m}}})
		}
		sendHeartbeat := func(acked uint64) {
			seq++
			receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: seq, Session: 7, AckedSeq: acked}})
		}
		ep := c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}})
		c.acquire(ep, nil)
		step(cornelwall.PollResult{Endpoint: "x1", Fence: ep.lease.fence, Seq: ep.lease.lastPoll, Boot: 1, Clock: time.Second})
		sendHeartbeat(0)
		p := c.peers[owner]
		sendHeartbeat(p.sentSeq)
		assert.Assert(t, p.sessionOpen)
		assign := &cornelwall.Assign{
			Session: p.session, Service: "s", UsefulFor: 9 * time.Second, DueIn: 9 * time.Second,
			Tasks: []cornelwall.AssignTask{{RunID: cornelwall.RunID{Task: "a.0.0.0", Run: 1}, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second}},
		}
		lastAcked := p.sentSeq // the last heartbeat that reaches the owner before the partition
		now = now.Add(after)
		for range int((holderTimeout + 200*time.Millisecond) / tickInterval) {
			now = now.Add(tickInterval)
			step(cornelwall.Tick{})
			sendHeartbeat(lastAcked)
		}
		sendHeartbeat(p.sentSeq)
		assert.Assert(t, p.sessionOpen, "the session is not open after the partition")
		receive(cornelwall.Message{Assign: assign})
		assert.Assert(t, !started, "an assignment from before the partition starts a run, heartbeats shifted by %s", after)
	}
}
