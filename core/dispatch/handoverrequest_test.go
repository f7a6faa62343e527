package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestHandoverRequest starts an entry that should hold an endpoint which another entry may hold. It
// acquires the endpoint soon if the other entry is silent or declines the request, and only after
// handoverRequestTimeout if the other entry sends heartbeats but does not answer the request.
func TestHandoverRequest(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	other := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	for _, tc := range []struct {
		name             string
		answers, decline bool
		earliest, latest time.Duration // until it is acquired
	}{
		{"silent", false, false, minSettleTime, minSettleTime + heartbeatTimeout + 300*time.Millisecond},
		{"declines", true, true, minSettleTime, minSettleTime + 300*time.Millisecond},
		{"answers heartbeats only", true, false, handoverRequestTimeout, handoverRequestTimeout + 500*time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
			now := start
			c := New(Config{Self: self, Addr: addr, MaxMeshPeers: -1, Weight: 1 << 40}, now)
			seq := uint64(0)
			var acquiredAfter time.Duration
			var step func(ev cornelwall.Event)
			step = func(ev cornelwall.Event) {
				for _, cmd := range c.Step(now, ev) {
					if _, ok := cmd.(cornelwall.PollEndpoint); ok && acquiredAfter == 0 {
						acquiredAfter = now.Sub(start)
					}
					s, ok := cmd.(cornelwall.Send)
					if !ok || !tc.answers {
						continue
					}
					var m cornelwall.Message
					switch {
					case s.Message.SessionHeartbeat != nil:
						seq++
						m.SessionHeartbeat = &cornelwall.SessionHeartbeat{Addr: addr, Seq: seq, Session: 1, AckedSeq: s.Message.SessionHeartbeat.Seq}
					case s.Message.HandoverRequest != nil && tc.decline:
						m.HandoverDecline = &cornelwall.HandoverDecline{Endpoint: "x1"}
					default:
						continue
					}
					step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: other, To: self, Messages: []cornelwall.Message{m}}})
				}
			}
			step(cornelwall.MembersListed{List: []cornelwall.Member{{ID: other, Addr: addr}}})
			step(cornelwall.EndpointsListed{Revision: 1, List: []cornelwall.Endpoint{{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}}}})
			for range 3 * int(time.Second/tickInterval) {
				now = now.Add(tickInterval)
				step(cornelwall.Tick{})
			}
			assert.Assert(t, acquiredAfter >= tc.earliest && acquiredAfter <= tc.latest, "acquired after %s, want %s to %s", acquiredAfter, tc.earliest, tc.latest)
		})
	}
}

// TestHeartbeatPrecedesFirstOrderedMessage sends a handover request to an entry that may not know
// the sender yet. On the connection of ordered messages a heartbeat must go first, although one has
// already been sent unordered.
func TestHeartbeatPrecedesFirstOrderedMessage(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	other := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	c := New(Config{Self: self, Addr: addr, MaxMeshPeers: -1, Weight: 1 << 40}, now)
	c.Step(now, cornelwall.MembersListed{List: []cornelwall.Member{{ID: other, Addr: addr}}})
	c.Step(now, cornelwall.EndpointsListed{Revision: 1, List: []cornelwall.Endpoint{{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0"}}})
	for range 20 {
		now = now.Add(tickInterval)
		heartbeatSent := false
		for _, cmd := range c.Step(now, cornelwall.Tick{}) {
			s, ok := cmd.(cornelwall.Send)
			if !ok || s.Unordered {
				continue
			}
			heartbeatSent = heartbeatSent || s.Message.SessionHeartbeat != nil
			if s.Message.HandoverRequest != nil {
				assert.Assert(t, heartbeatSent)
				return
			}
		}
	}
	t.Fatal("no handover request is sent")
}
