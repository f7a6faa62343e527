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
	away = 3 * time.Second
	lag  = time.Minute
)

var (
	start = time.Unix(1700000000, 0)
	self  = cornelwall.Incarnation{DataCentre: "ikeja", Entry: "self", Epoch: 1}
	addr  = netip.MustParseAddrPort("127.0.0.1:7001")
	beat  = &cornelwall.Heartbeat{Addr: addr}
)

func life(n uint64) cornelwall.Incarnation {
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
		{"nothing is known", func(table) {}, 2 * lag, member.Away, member.Away},
		{"not on the first list", func(m table) {
			m.Expect(start, life(4))
			m.SetMachines(start, nil)
		}, lag, member.Away, member.Away},
		{"off the list for longer than its lag", func(m table) {
			m.Expect(start, life(4))
			m.SetMachines(start, nil)
		}, lag + 1, member.Gone, member.Gone},
		{"heard of", func(m table) { m.Heard(start, life(4), beat, false) }, away, member.Alive, member.Away},
		{"silent", func(m table) { m.Heard(start, life(4), beat, false) }, 2 * lag, member.Away, member.Away},
		{"silent and off the list", func(m table) {
			m.SetMachines(start, listed)
			m.Heard(start, life(4), beat, false)
			m.SetMachines(start, nil)
		}, lag + 1, member.Gone, member.Gone},
		{"a later life without proof", func(m table) {
			m.Heard(start, life(4), beat, false)
			assert.Equal(t, m.Heard(start, life(5), beat, false), member.Unproven)
		}, 0, member.Alive, member.Away},
		{"a later life with proof", func(m table) {
			m.Heard(start, life(4), beat, false)
			assert.Equal(t, m.Heard(start, life(5), beat, true), member.Joined)
		}, 0, member.Gone, member.Alive},
		{"an old life's late heartbeat", func(m table) {
			m.Heard(start, life(4), beat, false)
			m.Heard(start, life(5), beat, true)
			assert.Equal(t, m.Heard(start, life(4), beat, true), member.Old)
		}, 0, member.Gone, member.Alive},
		{"an old life, never heard of, that still answers", func(m table) {
			m.Heard(start, life(5), beat, false)
			assert.Equal(t, m.Heard(start, life(4), beat, true), member.Old)
		}, 0, member.Gone, member.Alive},
		{"replaced", func(m table) {
			m.Heard(start, life(4), beat, false)
			assert.Assert(t, m.Replaced(start, life(5), life(4)))
		}, 0, member.Gone, member.Away},
		{"word of an older life that still answers", func(m table) {
			m.Heard(start, life(5), beat, false)
			assert.Assert(t, !m.Replaced(start, life(4), life(5)))
		}, 0, member.Gone, member.Alive},
		{"word of another entry at the address", func(m table) {
			m.Heard(start, life(4), beat, false)
			assert.Assert(t, !m.Replaced(start, cornelwall.Incarnation{DataCentre: "ikeja", Entry: "third", Epoch: 9}, life(4)))
		}, 0, member.Away, member.Away},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := member.NewTable(self, member.Limits{Away: away, ListLag: lag, Keep: lag})
			tt.do(m)
			now := start.Add(tt.after)
			assert.Equal(t, m.Status(now, life(4)), tt.four)
			assert.Equal(t, m.Status(now, life(5)), tt.five)
		})
	}
}

// TestSetMachines keeps the address that a peer told itself, as the VM list lags.
func TestSetMachines(t *testing.T) {
	old := netip.MustParseAddrPort("127.0.0.1:7009")
	m := member.NewTable(self, member.Limits{Away: away, ListLag: lag, Keep: lag})
	vms := []cornelwall.VM{{Name: "other", Kind: cornelwall.Entry, DataCentre: "ikeja", Addr: old}}
	m.SetMachines(start, vms)
	assert.Equal(t, m.Find(life(4)).Addr, old)
	m.Heard(start, life(4), beat, false)
	m.SetMachines(start, vms)
	assert.Equal(t, m.Find(life(4)).Addr, addr)
}
