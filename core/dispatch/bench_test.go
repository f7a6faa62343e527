package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cornelwall"
)

// The size of a large installation.
const (
	fleetEntries   = 29
	fleetEndpoints = 350
)

// newFleetCore returns the core of one entry of a large installation that knows all others, and the
// heartbeats of these.
func newFleetCore(b *testing.B) (c *Core, now time.Time, heartbeats []cornelwall.Event) {
	return newSizedFleetCore(b, fleetEntries, fleetEndpoints)
}

// newSizedFleetCore is newFleetCore for an installation of any size.
func newSizedFleetCore(b *testing.B, entries, listed int) (c *Core, now time.Time, heartbeats []cornelwall.Event) {
	b.Helper()
	now = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	id := func(i int) cornelwall.Incarnation {
		return cornelwall.Incarnation{DataCentre: fmt.Sprint("dc", i%3), Entry: fmt.Sprintf("e%02d", i), Epoch: 1}
	}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c = New(Config{Self: id(0), Addr: addr}, now)
	var endpoints []cornelwall.Endpoint
	for i := range listed {
		endpoints = append(endpoints, cornelwall.Endpoint{ID: fmt.Sprintf("x%03d", i), Service: "s", Addr: addr, DataCentre: fmt.Sprint("dc", i%3), Capacity: cornelwall.Resources{Cores: 16000}})
	}
	var members []cornelwall.Member
	for i := range entries {
		members = append(members, cornelwall.Member{ID: id(i), Addr: addr})
	}
	c.Step(now, cornelwall.MembersListed{List: members})
	c.Step(now, cornelwall.EndpointsListed{List: endpoints, Revision: 1})
	for i := 1; i < entries; i++ {
		heartbeat := &cornelwall.SessionHeartbeat{Addr: addr, Session: 1}
		for k := i; k < listed; k += entries {
			heartbeat.FreeCapacity.Free = append(heartbeat.FreeCapacity.Free, cornelwall.Resources{Cores: 9200})
			heartbeat.FreeCapacity.Total += 16000
		}
		heartbeats = append(heartbeats, cornelwall.Receive{Envelope: cornelwall.Envelope{From: id(i), To: id(0), Messages: []cornelwall.Message{{SessionHeartbeat: heartbeat}}}})
	}
	return c, now, heartbeats
}

// BenchmarkIdleSecond measures one second of an idle entry: its ticks and the heartbeats of all
// others.
func BenchmarkIdleSecond(b *testing.B) {
	c, now, heartbeats := newFleetCore(b)
	seq := uint64(0)
	for b.Loop() {
		for ms := range 1000 {
			now = now.Add(time.Millisecond)
			if ms%4 == 0 {
				ev := heartbeats[ms/4%len(heartbeats)].(cornelwall.Receive)
				seq++
				ev.Envelope.Messages[0].SessionHeartbeat.Seq = seq
				c.Step(now, ev)
			} else if !now.Before(c.Next()) {
				c.Step(now, cornelwall.Tick{})
			}
		}
	}
}
