package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestIncarnationWithLowerEpoch restarts an entry whose time of day has jumped back, so that its new
// life has the lower number. The platform's list decides which life counts; without the
// platform, one that is silent gives way. Word of a life that is over changes nothing.
func TestIncarnationWithLowerEpoch(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	before := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 9}
	after := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 4}
	members := func(id cornelwall.Incarnation) cornelwall.Event {
		return cornelwall.MembersListed{List: []cornelwall.Member{{ID: self, Addr: addr}, {ID: id, Addr: addr}}}
	}
	pulse := func(id cornelwall.Incarnation, n uint64) cornelwall.Event {
		return cornelwall.Receive{Envelope: cornelwall.Envelope{From: id, To: self, Messages: []cornelwall.Message{
			{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: n, Session: 1}},
		}}}
	}
	for _, tc := range []struct {
		name   string
		events []cornelwall.Event
		pause  time.Duration // before the last event
		want   cornelwall.Incarnation
	}{
		{"the list names the new life", []cornelwall.Event{members(before), pulse(before, 1), members(after)}, 0, after},
		{"a late pulse of the old life", []cornelwall.Event{members(before), members(after), pulse(after, 1), pulse(before, 5)}, 0, after},
		{"a pulse before the list", []cornelwall.Event{members(before), pulse(before, 1), pulse(after, 1)}, 0, before},
		{"without the platform, soon", []cornelwall.Event{pulse(before, 1), cornelwall.PlatformLost{}, pulse(after, 1)}, 0, before},
		{"without the platform, later", []cornelwall.Event{pulse(before, 1), cornelwall.PlatformLost{}, pulse(after, 1)}, deadTimeout + time.Second, after},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
			c := New(Config{Self: self, Addr: addr}, now)
			for i, ev := range tc.events {
				if i == len(tc.events)-1 {
					now = now.Add(tc.pause)
				}
				c.Step(now, ev)
			}
			p := c.latestPeers[entryNameOf(before)]
			assert.Assert(t, p != nil)
			assert.Equal(t, p.id, tc.want)
			assert.Assert(t, !p.dead)
		})
	}
}
