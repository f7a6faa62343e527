package node_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/node"
)

// TestStoreRollbackAlarm lets the entry read older versions than it knows from the store.
// The alarm must be raised once per version, and not by a single read that was in
// progress while a change was accepted.
func TestStoreRollbackAlarm(t *testing.T) {
	now := time.Unix(1700000000, 0)
	n := node.New(node.Config{
		Self:   cornelwall.Incarnation{DataCentre: "ikeja", Entry: "e1", Epoch: 1},
		Addr:   netip.MustParseAddrPort("127.0.0.1:7001"),
		Secret: []byte("0123456789abcdef"),
	}, now)
	read := func(version uint64) (alarms int) {
		p := cornelwall.Profile{Name: "holds", Team: "bookings", Version: version}
		p.Normalise()
		now = now.Add(2 * time.Second)
		for _, cmd := range n.Step(now, cornelwall.WatchUpdate{Profiles: []cornelwall.Profile{p}, All: true}) {
			if l, ok := cmd.(cornelwall.Log); ok && l.Event == "store-older" {
				alarms++
			}
		}
		return alarms
	}
	for i, tt := range []struct {
		version uint64
		alarms  int
	}{{3, 0}, {2, 0}, {3, 0}, {2, 0}, {2, 1}, {2, 0}, {1, 0}, {4, 0}, {3, 0}, {3, 1}, {3, 0}} {
		assert.Equal(t, read(tt.version), tt.alarms, "read %d", i)
	}
}
