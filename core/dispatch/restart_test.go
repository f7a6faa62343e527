package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestHandoverToEntryWithoutPlatform starts an entry that cannot read the platform. It takes over
// an endpoint that it is offered, although it has not seen any list, and declines one that
// is offered under an old session.
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
	var session, number uint64
	for _, cmd := range receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 1, Session: 7}}) {
		if s, ok := cmd.(cornelwall.Send); ok && s.Message.SessionHeartbeat != nil {
			session, number = s.Message.SessionHeartbeat.Session, s.Message.SessionHeartbeat.Seq
			assert.Assert(t, s.Message.SessionHeartbeat.NoEndpointList, "it asks for what it cannot read")
		}
	}
	receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 2, Session: 7, AckedSeq: number}})
	offer := cornelwall.Handover{
		Session:  session,
		Endpoint: cornelwall.Endpoint{ID: "x1", Service: "holds", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}},
		Fence:    5,
	}
	var look *cornelwall.PollEndpoint
	for _, cmd := range receive(cornelwall.Message{Handover: &offer}) {
		if l, ok := cmd.(cornelwall.PollEndpoint); ok {
			look = &l
		}
	}
	assert.Assert(t, look != nil, "it looks at the endpoint that it was offered")
	assert.Assert(t, look.Fence > offer.Fence)

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
