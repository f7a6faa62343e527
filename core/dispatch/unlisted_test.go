package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestPeerDroppedFromList drops an entry from the platform's list, as happens when the platform
// revokes its lease. The entry must be sent a heartbeat, and count as dead only if it does not
// answer.
func TestPeerDroppedFromList(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	other := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	for _, answers := range []bool{true, false} {
		now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
		c := New(Config{Self: self, Addr: addr, MaxMeshPeers: -1}, now)
		probed := false
		step := func(ev cornelwall.Event) {
			for _, cmd := range c.Step(now, ev) {
				if s, ok := cmd.(cornelwall.Send); ok && s.To == other && s.Message.SessionHeartbeat != nil {
					probed = true
				}
			}
		}
		step(cornelwall.MembersListed{List: []cornelwall.Member{{ID: other, Addr: addr}}})
		now = now.Add(5 * time.Second) // without a link
		step(cornelwall.Tick{})
		step(cornelwall.MembersListed{})
		assert.Assert(t, probed)
		assert.Assert(t, c.isAlive(c.peers[other]))
		for i := range 10 {
			now = now.Add(100 * time.Millisecond)
			if answers {
				step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: other, To: self, Messages: []cornelwall.Message{
					{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: uint64(i + 1), Session: 1, PlatformLost: true}},
				}}})
			} else {
				step(cornelwall.Tick{})
			}
		}
		assert.Equal(t, c.isAlive(c.peers[other]), answers)
	}
}
