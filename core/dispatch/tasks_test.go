package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestHolderTimeoutStartsAtHandover hands a run over to a holder that the owner has not heard for a
// while. That holder stops the run only once its proof of the owner is older than proofTTL, so that
// the owner must wait for holderTimeout from the handover on before it starts the task again.
func TestHolderTimeoutStartsAtHandover(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	first := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	next := cornelwall.Incarnation{DataCentre: "dc1", Entry: "e3", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr}, now)
	heartbeats := map[cornelwall.Incarnation]*cornelwall.SessionHeartbeat{}
	var assigned *cornelwall.Assign
	step := func(ev cornelwall.Event) {
		for _, cmd := range c.Step(now, ev) {
			if s, ok := cmd.(cornelwall.Send); ok && s.Message.SessionHeartbeat != nil {
				heartbeats[s.To] = s.Message.SessionHeartbeat
			} else if ok && s.Message.Assign != nil {
				assigned = s.Message.Assign
			}
		}
	}
	receive := func(from cornelwall.Incarnation, m cornelwall.Message) {
		step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: from, To: self, Messages: []cornelwall.Message{m}}})
	}
	seq := uint64(0)
	receiveHeartbeat := func(from cornelwall.Incarnation, free cornelwall.FreeCapacity) {
		seq++
		m := &cornelwall.SessionHeartbeat{Addr: addr, Seq: seq, Session: 7, FreeCapacity: free}
		if last := heartbeats[from]; last != nil {
			m.AckedSeq = last.Seq
		}
		receive(from, cornelwall.Message{SessionHeartbeat: m})
	}
	free := cornelwall.FreeCapacity{Total: 16000, Free: []cornelwall.Resources{{Cores: 16000}}}
	receiveHeartbeat(next, cornelwall.FreeCapacity{})
	step(cornelwall.QueueConfigRead{Config: &cornelwall.QueueConfig{Version: 1, Queues: []cornelwall.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Attempts: 2, Timeout: 9 * time.Second, Stretch: 40}}}})
	advance := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(tickInterval)
			receiveHeartbeat(first, free)
		}
	}
	advance(200 * time.Millisecond)
	step(cornelwall.SubmitBatch{Req: 1, Host: "h", Path: "/q/1", TimeLeft: 9 * time.Second, Batch: &cornelwall.BatchJob{
		ID: "00000000000000ab", Steps: []cornelwall.Step{{Count: 1, Need: cornelwall.Resources{Cores: 1000}, Estimate: 3 * time.Second}},
	}})
	assert.Assert(t, assigned != nil)
	run := assigned.Tasks[0].RunID
	receive(first, cornelwall.Message{RunsStarted: &cornelwall.RunsStarted{Endpoint: "x1", Fence: 5, Runs: []cornelwall.RunID{run}}})

	advance(holderTimeout - 300*time.Millisecond) // without a heartbeat of the next holder
	receive(next, cornelwall.Message{EndpointAcquired: &cornelwall.EndpointAcquired{Session: heartbeats[next].Session, Endpoint: "x1", Fence: 9, Kept: []cornelwall.RunID{run}}})
	assigned = nil
	advance(holderTimeout - 200*time.Millisecond)
	assert.Assert(t, assigned == nil, "the task is assigned again too early")
	advance(400 * time.Millisecond)
	assert.Assert(t, assigned != nil, "the task is never assigned again")
}
