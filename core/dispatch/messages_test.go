package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestUndeliveredMessages checks which undelivered messages are sent again: those that another
// entry waits for. An assignment may have arrived and is withdrawn instead, and a heartbeat is out
// of date by then.
func TestUndeliveredMessages(t *testing.T) {
	run := cornelwall.RunID{Task: "a.0.0.0", Run: 1}
	runs := []cornelwall.RunID{run}
	for _, tc := range []struct {
		name        string
		undelivered cornelwall.Message
		want        func(m *cornelwall.Message) bool // nil: nothing is sent again
	}{
		{"assign", cornelwall.Message{Assign: &cornelwall.Assign{Tasks: []cornelwall.AssignTask{{RunID: run}}}}, func(m *cornelwall.Message) bool { return m.Withdraw != nil }},
		{"withdraw", cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: runs}}, func(m *cornelwall.Message) bool { return m.Withdraw != nil }},
		{"run results", cornelwall.Message{RunResults: &cornelwall.RunResults{}}, func(m *cornelwall.Message) bool { return m.RunResults != nil }},
		{"runs started", cornelwall.Message{RunsStarted: &cornelwall.RunsStarted{Runs: runs}}, func(m *cornelwall.Message) bool { return m.RunsStarted != nil }},
		{"endpoint acquired", cornelwall.Message{EndpointAcquired: &cornelwall.EndpointAcquired{}}, func(m *cornelwall.Message) bool { return m.EndpointAcquired != nil }},
		{"handover", cornelwall.Message{Handover: &cornelwall.Handover{}}, func(m *cornelwall.Message) bool { return m.Handover != nil }},
		{"decline", cornelwall.Message{HandoverDecline: &cornelwall.HandoverDecline{}}, func(m *cornelwall.Message) bool { return m.HandoverDecline != nil }},
		{"batch cancellation", cornelwall.Message{BatchCancellation: &cornelwall.BatchCancellation{}}, func(m *cornelwall.Message) bool { return m.BatchCancellation != nil }},
		{"handover request", cornelwall.Message{HandoverRequest: &cornelwall.HandoverRequest{}}, func(m *cornelwall.Message) bool { return m.HandoverRequest != nil }},
		{"crash report", cornelwall.Message{CrashReport: &cornelwall.CrashReport{}}, func(m *cornelwall.Message) bool { return m.CrashReport != nil }},
		{"heartbeat", cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
			self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
			other := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
			addr := netip.MustParseAddrPort("10.0.0.1:7001")
			c := New(Config{Self: self, Addr: addr}, now)
			c.Step(now, cornelwall.Receive{Envelope: cornelwall.Envelope{From: other, To: self, Messages: []cornelwall.Message{
				{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 1}},
			}}})
			c.Step(now, cornelwall.Undelivered{Envelope: cornelwall.Envelope{From: self, To: other, Messages: []cornelwall.Message{tc.undelivered}}})
			again := 0
			for _, cmd := range c.Step(now.Add(tickInterval), cornelwall.Tick{}) {
				s, ok := cmd.(cornelwall.Send)
				if !ok || s.Message.SessionHeartbeat != nil { // one accompanies the message
					continue
				}
				again++
				assert.Assert(t, tc.want != nil && tc.want(&s.Message), "%+v", s.Message)
			}
			assert.Equal(t, again, map[bool]int{true: 1}[tc.want != nil])
		})
	}
}
