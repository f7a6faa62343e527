package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestHolderTimeoutStartsAtHandover moves a run to a holder that the owner has not heard for a while.
// The holder stops it only after proofLife, so that the owner must not start it again before
// it has waited from the move on.
func TestHolderTimeoutStartsAtHandover(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	first := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	next := cornelwall.Incarnation{DataCentre: "dc1", Entry: "e3", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr}, now)
	pulses := map[cornelwall.Incarnation]*cornelwall.SessionHeartbeat{}
	var assigned *cornelwall.Assign
	step := func(ev cornelwall.Event) {
		for _, cmd := range c.Step(now, ev) {
			if s, ok := cmd.(cornelwall.Send); ok && s.Message.SessionHeartbeat != nil {
				pulses[s.To] = s.Message.SessionHeartbeat
			} else if ok && s.Message.Assign != nil {
				assigned = s.Message.Assign
			}
		}
	}
	receive := func(from cornelwall.Incarnation, m cornelwall.Message) {
		step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: from, To: self, Messages: []cornelwall.Message{m}}})
	}
	number := uint64(0)
	hear := func(from cornelwall.Incarnation, room cornelwall.FreeCapacity) {
		number++
		m := &cornelwall.SessionHeartbeat{Addr: addr, Seq: number, Session: 7, FreeCapacity: room}
		if p := pulses[from]; p != nil {
			m.AckedSeq = p.Seq
		}
		receive(from, cornelwall.Message{SessionHeartbeat: m})
	}
	room := cornelwall.FreeCapacity{Total: 16000, Free: []cornelwall.Resources{{Cores: 16000}}}
	hear(next, cornelwall.FreeCapacity{})
	step(cornelwall.QueueConfigRead{Config: &cornelwall.QueueConfig{Version: 1, Queues: []cornelwall.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Attempts: 2, Timeout: 9 * time.Second, Stretch: 40}}}})
	advance := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(tickInterval)
			hear(first, room)
		}
	}
	advance(200 * time.Millisecond)
	step(cornelwall.SubmitBatch{Req: 1, Host: "h", Path: "/q/1", TimeLeft: 9 * time.Second, Batch: &cornelwall.BatchJob{
		ID: "00000000000000ab", Steps: []cornelwall.Step{{Count: 1, Need: cornelwall.Resources{Cores: 1000}, Estimate: 3 * time.Second}},
	}})
	assert.Assert(t, assigned != nil)
	run := assigned.Tasks[0].RunID
	receive(first, cornelwall.Message{RunsStarted: &cornelwall.RunsStarted{Endpoint: "x1", Fence: 5, Runs: []cornelwall.RunID{run}}})

	advance(holderTimeout - 300*time.Millisecond) // without a pulse of the next holder
	receive(next, cornelwall.Message{EndpointAcquired: &cornelwall.EndpointAcquired{Session: pulses[next].Session, Endpoint: "x1", Fence: 9, Kept: []cornelwall.RunID{run}}})
	assigned = nil
	advance(holderTimeout - 200*time.Millisecond)
	assert.Assert(t, assigned == nil, "the task is assigned again too early")
	advance(400 * time.Millisecond)
	assert.Assert(t, assigned != nil, "the task is never assigned again")
}
