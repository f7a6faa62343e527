package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestHandoverToEntryWithoutPlatform restarts an entry that cannot read the platform. It must take
// over an endpoint that it is offered, although it has no endpoint list, and decline one that is
// offered under an old session.
func TestHandoverToEntryWithoutPlatform(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 2}
	peer := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, now)
	receive := func(m cornelwall.Message) []cornelwall.Command {
		now = now.Add(time.Millisecond)
		return c.Step(now, cornelwall.Receive{Envelope: cornelwall.Envelope{From: peer, To: self, Messages: []cornelwall.Message{m}}})
	}
	var session, seq uint64
	for _, cmd := range receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 1, Session: 7}}) {
		if s, ok := cmd.(cornelwall.Send); ok && s.Message.SessionHeartbeat != nil {
			session, seq = s.Message.SessionHeartbeat.Session, s.Message.SessionHeartbeat.Seq
			assert.Assert(t, s.Message.SessionHeartbeat.NoEndpointList, "the entry does not report that it has no endpoint list")
		}
	}
	receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 2, Session: 7, AckedSeq: seq}})
	offer := cornelwall.Handover{
		Session:  session,
		Endpoint: cornelwall.Endpoint{ID: "x1", Service: "holds", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}},
		Fence:    5,
	}
	var poll *cornelwall.PollEndpoint
	for _, cmd := range receive(cornelwall.Message{Handover: &offer}) {
		if p, ok := cmd.(cornelwall.PollEndpoint); ok {
			poll = &p
		}
	}
	assert.Assert(t, poll != nil, "the entry does not poll the endpoint that it was offered")
	assert.Assert(t, poll.Fence > offer.Fence)

	late := offer
	late.Session, late.Endpoint.ID = session-1, "x2"
	declined := false
	for _, cmd := range receive(cornelwall.Message{Handover: &late}) {
		if s, ok := cmd.(cornelwall.Send); ok && s.Message.HandoverDecline != nil {
			declined = s.Message.HandoverDecline.Endpoint == "x2"
		}
	}
	assert.Assert(t, declined)
}

// TestUninformedEntriesThatHearEachOtherStillAskTheSeeds starts two entries without the platform. A
// peer that knows neither queues nor endpoints must not keep an entry from its seeds.
func TestUninformedEntriesThatHearEachOtherStillAskTheSeeds(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 2}
	peer := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	addr, peerAddr, seed := netip.MustParseAddrPort("10.0.0.1:7001"), netip.MustParseAddrPort("10.0.0.2:7001"), netip.MustParseAddrPort("10.0.0.3:7001")
	c := New(Config{Self: self, Addr: addr, Seeds: []netip.AddrPort{seed}, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, now)
	asked := 0
	for seq := range uint64(100) {
		now = now.Add(tickInterval)
		for _, cmd := range c.Step(now, cornelwall.Receive{Envelope: cornelwall.Envelope{From: peer, To: self, Messages: []cornelwall.Message{
			{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: peerAddr, Seq: seq + 1, Session: 7, PlatformLost: true, NoEndpointList: true}},
		}}}) {
			if s, ok := cmd.(cornelwall.Send); ok && s.Addr == seed {
				asked++
			}
		}
	}
	assert.Assert(t, asked > 1, "the seed was asked %d times in 2 s", asked)
}
