package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestAssignmentIsShortProof places a task over a link that was idle. The holder asks for proof
// at once. Without it, it stops the run so early that the run is over, also by the end of the
// lease alone, before its owner may give it up: the order may have been under way for a while.
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

	for end := now.Add(proofTTL - 30*time.Millisecond); now.Before(end); { // the link rests
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
	assert.Assert(t, asked, "it asks for proof")
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
	over := stopped.Add(stopRetryInterval + confirmPollInterval + leaseTTL + c.cfg.Limits.StopDelay)
	assert.Assert(t, over.Before(sent.Add(holderTimeout)), "over %s after the order may have been sent", over.Sub(sent))
}

// TestProofRequestIsAnsweredAtOnce lets an entry ask for proof just after it has had a pulse.
func TestProofRequestIsAnsweredAtOnce(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	other := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr, MaxMeshPeers: -1}, now)
	number := uint64(0)
	answers := func(prove bool) (n int, asked bool) {
		number++
		m := cornelwall.SessionHeartbeat{Addr: addr, Seq: number, Session: 7, WantHeartbeats: true, ReplyNow: prove}
		if p := c.peers[other]; p != nil {
			m.AckedSeq = p.sentSeq
		}
		for _, cmd := range c.Step(now, cornelwall.Receive{Envelope: cornelwall.Envelope{From: other, To: self, Messages: []cornelwall.Message{{SessionHeartbeat: &m}}}}) {
			if s, ok := cmd.(cornelwall.Send); ok && s.Message.SessionHeartbeat != nil {
				n++
				asked = asked || s.Message.SessionHeartbeat.ReplyNow
				assert.Equal(t, s.Message.SessionHeartbeat.AckedSeq, number)
			}
		}
		return n, asked
	}
	answers(false)
	answers(false)
	n, _ := answers(false)
	assert.Equal(t, n, 0, "an open link answers in its turn")
	n, asked := answers(true)
	assert.Equal(t, n, 1)
	assert.Assert(t, !asked, "an answer asks for none")
}
