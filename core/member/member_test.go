package member_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/member"
)

const (
	silenceTimeout = 3 * time.Second
	listLag        = time.Minute
)

var (
	start     = time.Unix(1700000000, 0)
	self      = cornelwall.Incarnation{DataCentre: "ikeja", Entry: "self", Epoch: 1}
	addr      = netip.MustParseAddrPort("127.0.0.1:7001")
	heartbeat = &cornelwall.Heartbeat{Addr: addr}
)

func otherAtEpoch(n uint64) cornelwall.Incarnation {
	return cornelwall.Incarnation{DataCentre: "ikeja", Entry: "other", Epoch: n}
}

// TestStatus checks the state of epochs 4 and 5 of another entry after each sequence of events.
func TestStatus(t *testing.T) {
	listed := []cornelwall.VM{{Name: "other", Kind: cornelwall.Entry, DataCentre: "ikeja", Addr: addr}}
	type table = *member.Table
	for _, tt := range []struct {
		name           string
		events         func(m table)
		after          time.Duration
		epoch4, epoch5 member.Status
	}{
		{"nothing is known", func(table) {}, 2 * listLag, member.Suspect, member.Suspect},
		{"not on the first list", func(m table) {
			m.Track(start, otherAtEpoch(4))
			m.SetMachines(start, nil)
		}, listLag, member.Suspect, member.Suspect},
		{"missing from the list for longer than its lag", func(m table) {
			m.Track(start, otherAtEpoch(4))
			m.SetMachines(start, nil)
		}, listLag + 1, member.Dead, member.Dead},
		{"heartbeat received", func(m table) { m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false) }, silenceTimeout, member.Alive, member.Suspect},
		{"silent", func(m table) { m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false) }, 2 * listLag, member.Suspect, member.Suspect},
		{"silent and removed from the list", func(m table) {
			m.SetMachines(start, listed)
			m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
			m.SetMachines(start, nil)
		}, listLag + 1, member.Dead, member.Dead},
		{"later epoch without proof", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
			assert.Equal(t, m.RecordHeartbeat(start, otherAtEpoch(5), heartbeat, false), member.NeedsProof)
		}, 0, member.Alive, member.Suspect},
		{"later epoch with proof", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
			assert.Equal(t, m.RecordHeartbeat(start, otherAtEpoch(5), heartbeat, true), member.Joined)
		}, 0, member.Dead, member.Alive},
		{"delayed heartbeat of a superseded epoch", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
			m.RecordHeartbeat(start, otherAtEpoch(5), heartbeat, true)
			assert.Equal(t, m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, true), member.NoChange)
		}, 0, member.Dead, member.Alive},
		{"heartbeat of an unknown earlier epoch while the later one is alive", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(5), heartbeat, false)
			assert.Equal(t, m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, true), member.NoChange)
		}, 0, member.Dead, member.Alive},
		{"replaced", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
			assert.Assert(t, m.RecordReplacement(start, otherAtEpoch(5), otherAtEpoch(4)))
		}, 0, member.Dead, member.Suspect},
		{"replacement reported by an earlier epoch", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(5), heartbeat, false)
			assert.Assert(t, !m.RecordReplacement(start, otherAtEpoch(4), otherAtEpoch(5)))
		}, 0, member.Dead, member.Alive},
		{"replacement reported by another entry at the address", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
			assert.Assert(t, !m.RecordReplacement(start, cornelwall.Incarnation{DataCentre: "ikeja", Entry: "third", Epoch: 9}, otherAtEpoch(4)))
		}, 0, member.Suspect, member.Suspect},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := member.NewTable(self, member.Timeouts{SilenceTimeout: silenceTimeout, ListLag: listLag, Retention: listLag})
			tt.events(m)
			now := start.Add(tt.after)
			assert.Equal(t, m.Status(now, otherAtEpoch(4)), tt.epoch4)
			assert.Equal(t, m.Status(now, otherAtEpoch(5)), tt.epoch5)
		})
	}
}

// TestSetMachines checks that the address from a peer's heartbeat takes precedence over the one
// from the VM list, which lags.
func TestSetMachines(t *testing.T) {
	old := netip.MustParseAddrPort("127.0.0.1:7009")
	m := member.NewTable(self, member.Timeouts{SilenceTimeout: silenceTimeout, ListLag: listLag, Retention: listLag})
	vms := []cornelwall.VM{{Name: "other", Kind: cornelwall.Entry, DataCentre: "ikeja", Addr: old}}
	m.SetMachines(start, vms)
	assert.Equal(t, m.Find(otherAtEpoch(4)).Addr, old)
	m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
	m.SetMachines(start, vms)
	assert.Equal(t, m.Find(otherAtEpoch(4)).Addr, addr)
}
