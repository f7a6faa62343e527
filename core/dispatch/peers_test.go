package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestIncarnationWithLowerEpoch restarts an entry whose time of day has jumped back, so that its
// new incarnation has the lower epoch. The platform's list decides which incarnation counts;
// without the platform, one that is silent is superseded. A late message of a superseded
// incarnation changes nothing.
func TestIncarnationWithLowerEpoch(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	before := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 9}
	after := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 4}
	members := func(id cornelwall.Incarnation) cornelwall.Event {
		return cornelwall.MembersListed{List: []cornelwall.Member{{ID: self, Addr: addr}, {ID: id, Addr: addr}}}
	}
	heartbeat := func(id cornelwall.Incarnation, n uint64) cornelwall.Event {
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
		{"the list names the new incarnation", []cornelwall.Event{members(before), heartbeat(before, 1), members(after)}, 0, after},
		{"a late heartbeat of the old incarnation", []cornelwall.Event{members(before), members(after), heartbeat(after, 1), heartbeat(before, 5)}, 0, after},
		{"a heartbeat before the list", []cornelwall.Event{members(before), heartbeat(before, 1), heartbeat(after, 1)}, 0, before},
		{"without the platform, soon", []cornelwall.Event{heartbeat(before, 1), cornelwall.PlatformLost{}, heartbeat(after, 1)}, 0, before},
		{"without the platform, later", []cornelwall.Event{heartbeat(before, 1), cornelwall.PlatformLost{}, heartbeat(after, 1)}, deadTimeout + time.Second, after},
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
