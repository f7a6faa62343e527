package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestNewHolderReportsHandedOverRunToOwner hands an endpoint with a run over to an entry that has
// had no link to the run's owner for a while. The new holder must report the run to the owner:
// otherwise the owner counts the run as ended once the previous holder has been silent for
// holderTimeout, and starts the task again while it still runs.
func TestNewHolderReportsHandedOverRunToOwner(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	owner := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	previous := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e3", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr, MaxMeshPeers: -1, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, now)
	var reports []*cornelwall.RunsStarted
	step := func(ev cornelwall.Event) {
		for _, cmd := range c.Step(now, ev) {
			if s, ok := cmd.(cornelwall.Send); ok && s.To == owner && s.Message.RunsStarted != nil {
				reports = append(reports, s.Message.RunsStarted)
			}
		}
	}
	receive := func(from cornelwall.Incarnation, m cornelwall.Message) {
		step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: from, To: self, Messages: []cornelwall.Message{m}}})
	}
	receive(owner, cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 1, Session: 7}})
	for range 200 { // the link to the owner ends
		now = now.Add(tickInterval)
		step(cornelwall.Tick{})
	}
	receive(previous, cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 1, Session: 8}})
	p := c.peers[previous]
	receive(previous, cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 2, Session: 8, AckedSeq: p.sentSeq}})
	run := cornelwall.RunID{Task: "a.0.0.0", Run: 1}
	receive(previous, cornelwall.Message{Handover: &cornelwall.Handover{
		Session: p.session, Fence: 3, Offer: 1,
		Endpoint: cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}},
		Runs:     []cornelwall.HandoverRun{{RunID: run, Owner: owner, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second}},
	}})
	fence := c.endpoints["x1"].lease.fence
	step(cornelwall.PollResult{Endpoint: "x1", Fence: fence, Seq: 1, Boot: 1, Clock: time.Second, Running: []cornelwall.RunState{{RunID: run}}})
	assert.DeepEqual(t, reports, []*cornelwall.RunsStarted{{Endpoint: "x1", Fence: fence, Runs: []cornelwall.RunID{run}, Confirm: true}})

	// The report may be lost. It is repeated when the link opens again.
	reports = nil
	q := c.peers[owner]
	receive(owner, cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 2, Session: 7, AckedSeq: q.sentSeq}})
	assert.Equal(t, len(reports), 1)
}
