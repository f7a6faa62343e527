package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestAssignmentIsShortProof assigns a task over a link that was idle. The holder must ask the
// owner of the task for proof at once. Without an answer, it must stop the run so early that the
// run ends, even if only by the end of the lease, before its owner may give it up: the assignment
// may have been in transit for a while.
func TestAssignmentIsShortProof(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	owner := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr, MaxMeshPeers: -1, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, now)
	receive := func(m cornelwall.Message) []cornelwall.Command {
		return c.Step(now, cornelwall.Receive{Envelope: cornelwall.Envelope{From: owner, To: self, Messages: []cornelwall.Message{m}}})
	}
	receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 1, Session: 7}})
	p := c.peers[owner]
	receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 2, Session: 7, AckedSeq: p.sentSeq}})
	ep := c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}})
	c.acquire(ep, nil)
	c.Step(now, cornelwall.PollResult{Endpoint: "x1", Fence: ep.lease.fence, Seq: ep.lease.lastPoll, Boot: 1, Clock: time.Second})

	for end := now.Add(proofTTL - 30*time.Millisecond); now.Before(end); { // the link is idle
		now = now.Add(tickInterval)
		c.Step(now, cornelwall.Tick{})
	}
	sent := now.Add(-maxAssignDelay)
	asked := false
	for _, cmd := range receive(cornelwall.Message{Assign: &cornelwall.Assign{
		Session: p.session, Service: "s", UsefulFor: 9 * time.Second, DueIn: 9 * time.Second,
		Tasks: []cornelwall.AssignTask{{RunID: cornelwall.RunID{Task: "a.0.0.0", Run: 1}, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second}},
	}}) {
		s, ok := cmd.(cornelwall.Send)
		asked = asked || ok && s.Message.SessionHeartbeat != nil && s.Message.SessionHeartbeat.WantHeartbeats
	}
	assert.Assert(t, asked, "the holder does not ask for proof")
	assert.Equal(t, len(ep.lease.runs), 1)
	var stopped time.Time
	for range 100 {
		now = now.Add(tickInterval)
		for _, cmd := range c.Step(now, cornelwall.Tick{}) {
			if _, ok := cmd.(cornelwall.StopRun); ok && stopped.IsZero() {
				stopped = now
			}
		}
	}
	assert.Assert(t, !stopped.IsZero())
	endsAt := stopped.Add(stopRetryInterval + confirmPollInterval + leaseTTL + c.cfg.Limits.StopDelay)
	assert.Assert(t, endsAt.Before(sent.Add(holderTimeout)), "ends %s after the assignment may have been sent", endsAt.Sub(sent))
}

// TestProofRequestIsAnsweredAtOnce receives a heartbeat that asks for proof just after another
// heartbeat. It must be answered at once, by a heartbeat that does not ask for proof in turn.
func TestProofRequestIsAnsweredAtOnce(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	other := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr, MaxMeshPeers: -1}, now)
	seq := uint64(0)
	receiveHeartbeat := func(replyNow bool) (n int, asked bool) {
		seq++
		m := cornelwall.SessionHeartbeat{Addr: addr, Seq: seq, Session: 7, WantHeartbeats: true, ReplyNow: replyNow}
		if p := c.peers[other]; p != nil {
			m.AckedSeq = p.sentSeq
		}
		for _, cmd := range c.Step(now, cornelwall.Receive{Envelope: cornelwall.Envelope{From: other, To: self, Messages: []cornelwall.Message{{SessionHeartbeat: &m}}}}) {
			if s, ok := cmd.(cornelwall.Send); ok && s.Message.SessionHeartbeat != nil {
				n++
				asked = asked || s.Message.SessionHeartbeat.ReplyNow
				assert.Equal(t, s.Message.SessionHeartbeat.AckedSeq, seq)
			}
		}
		return n, asked
	}
	receiveHeartbeat(false)
	receiveHeartbeat(false)
	n, _ := receiveHeartbeat(false)
	assert.Equal(t, n, 0, "a heartbeat that asks for no proof is answered at once")
	n, asked := receiveHeartbeat(true)
	assert.Equal(t, n, 1)
	assert.Assert(t, !asked, "the answer asks for proof in turn")
}
