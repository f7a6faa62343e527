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

// TestStatus tells what is known of lives 4 and 5 of another entry.
func TestStatus(t *testing.T) {
	listed := []cornelwall.VM{{Name: "other", Kind: cornelwall.Entry, DataCentre: "ikeja", Addr: addr}}
	type table = *member.Table
	for _, tt := range []struct {
		name       string
		do         func(m table)
		after      time.Duration
		four, five member.Status
	}{
		{"nothing is known", func(table) {}, 2 * listLag, member.Suspect, member.Suspect},
		{"not on the first list", func(m table) {
			m.Track(start, otherAtEpoch(4))
			m.SetMachines(start, nil)
		}, listLag, member.Suspect, member.Suspect},
		{"off the list for longer than its lag", func(m table) {
			m.Track(start, otherAtEpoch(4))
			m.SetMachines(start, nil)
		}, listLag + 1, member.Dead, member.Dead},
		{"heard of", func(m table) { m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false) }, silenceTimeout, member.Alive, member.Suspect},
		{"silent", func(m table) { m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false) }, 2 * listLag, member.Suspect, member.Suspect},
		{"silent and off the list", func(m table) {
			m.SetMachines(start, listed)
			m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
			m.SetMachines(start, nil)
		}, listLag + 1, member.Dead, member.Dead},
		{"a later life without proof", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
			assert.Equal(t, m.RecordHeartbeat(start, otherAtEpoch(5), heartbeat, false), member.NeedsProof)
		}, 0, member.Alive, member.Suspect},
		{"a later life with proof", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
			assert.Equal(t, m.RecordHeartbeat(start, otherAtEpoch(5), heartbeat, true), member.Joined)
		}, 0, member.Dead, member.Alive},
		{"an old life's late heartbeat", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
			m.RecordHeartbeat(start, otherAtEpoch(5), heartbeat, true)
			assert.Equal(t, m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, true), member.NoChange)
		}, 0, member.Dead, member.Alive},
		{"an old life, never heard of, that still answers", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(5), heartbeat, false)
			assert.Equal(t, m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, true), member.NoChange)
		}, 0, member.Dead, member.Alive},
		{"replaced", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
			assert.Assert(t, m.RecordReplacement(start, otherAtEpoch(5), otherAtEpoch(4)))
		}, 0, member.Dead, member.Suspect},
		{"word of an older life that still answers", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(5), heartbeat, false)
			assert.Assert(t, !m.RecordReplacement(start, otherAtEpoch(4), otherAtEpoch(5)))
		}, 0, member.Dead, member.Alive},
		{"word of another entry at the address", func(m table) {
			m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
			assert.Assert(t, !m.RecordReplacement(start, cornelwall.Incarnation{DataCentre: "ikeja", Entry: "third", Epoch: 9}, otherAtEpoch(4)))
		}, 0, member.Suspect, member.Suspect},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := member.NewTable(self, member.Limits{SilenceTimeout: silenceTimeout, ListLag: listLag, Retention: listLag})
			tt.do(m)
			now := start.Add(tt.after)
			assert.Equal(t, m.Status(now, otherAtEpoch(4)), tt.four)
			assert.Equal(t, m.Status(now, otherAtEpoch(5)), tt.five)
		})
	}
}

// TestSetMachines keeps the address that a peer told itself, as the VM list lags.
func TestSetMachines(t *testing.T) {
	old := netip.MustParseAddrPort("127.0.0.1:7009")
	m := member.NewTable(self, member.Limits{SilenceTimeout: silenceTimeout, ListLag: listLag, Retention: listLag})
	vms := []cornelwall.VM{{Name: "other", Kind: cornelwall.Entry, DataCentre: "ikeja", Addr: old}}
	m.SetMachines(start, vms)
	assert.Equal(t, m.Find(otherAtEpoch(4)).Addr, old)
	m.RecordHeartbeat(start, otherAtEpoch(4), heartbeat, false)
	m.SetMachines(start, vms)
	assert.Equal(t, m.Find(otherAtEpoch(4)).Addr, addr)
}
