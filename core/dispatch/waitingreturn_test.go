package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestWaitingTaskIsReturnedIfEndpointIsLost lets another entry acquire the only endpoint of a
// holder while a task waits there. The task must be returned to its owner, which would otherwise
// wait for it in vain.
func TestWaitingTaskIsReturnedIfEndpointIsLost(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	other := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr}, now)
	receive := func(m cornelwall.Message) []cornelwall.Command {
		return c.Step(now, cornelwall.Receive{Envelope: cornelwall.Envelope{From: other, To: self, Messages: []cornelwall.Message{m}}})
	}
	receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 1, Session: 7}})
	p := c.peers[other]
	receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 2, Session: 7, AckedSeq: p.sentSeq}})
	ep := c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}})
	c.acquire(ep, nil) // nothing starts there before a poll is answered
	id := cornelwall.RunID{Task: "a.0.0.0", Run: 1}
	receive(cornelwall.Message{Assign: &cornelwall.Assign{
		Session: p.session, Service: "s", UsefulFor: time.Second, Tasks: []cornelwall.AssignTask{{RunID: id, Need: cornelwall.Resources{Cores: 8000}}},
	}})
	assert.Equal(t, len(c.backlog), 1)

	receive(cornelwall.Message{EndpointAcquired: &cornelwall.EndpointAcquired{Session: p.session, Endpoint: "x1", Fence: ep.lease.fence + 1}})
	now = now.Add(tickInterval)
	var results []cornelwall.RunResult
	for _, cmd := range c.Step(now, cornelwall.Tick{}) {
		if s, ok := cmd.(cornelwall.Send); ok && s.Message.RunResults != nil {
			results = append(results, s.Message.RunResults.Runs...)
		}
	}
	assert.DeepEqual(t, results, []cornelwall.RunResult{{RunID: id, End: cornelwall.RunUnstarted}})
}
