package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestDeclinedOfferThatCameTwiceIsNotAccepted declines an offer with a run, and lets its second copy come when the
// endpoint could be taken over. The holder goes on after the first answer, so that the run may have two holders.
func TestDeclinedOfferThatCameTwiceIsNotAccepted(t *testing.T) {
	s := newSimulation(t)
	owner := cornelwall.Incarnation{DataCentre: "dc1", Entry: "e1", Epoch: 1}
	holder := cornelwall.Incarnation{DataCentre: "dc0", Entry: "a1", Epoch: 1}
	next := cornelwall.Incarnation{DataCentre: "dc0", Entry: "b2", Epoch: 1}
	var list []cornelwall.Endpoint
	for i, id := range []string{"x1", "x2"} {
		info := cornelwall.Endpoint{ID: id, Service: "s", Addr: s.addr(100 + i), DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 8000}}
		list = append(list, info)
		s.addEndpoint(info)
	}
	s.addEntry(owner)
	s.addEntry(holder)
	for _, id := range s.order {
		s.step(id, endpointsListed(list))
	}
	s.advance(1500 * time.Millisecond)
	s.step(owner, cornelwall.SubmitBatch{Req: 1, Host: "h", Path: "/q/1", TimeLeft: 9 * time.Second, Batch: &cornelwall.BatchJob{
		ID: "00000000000000ab", Steps: []cornelwall.Step{{Count: 1, Need: cornelwall.Resources{Cores: 8000}, Estimate: 3 * time.Second}},
	}})
	s.advance(100 * time.Millisecond)

	var offeredAt time.Time
	s.extraDelay = func(from, to cornelwall.Incarnation, m *cornelwall.Message) time.Duration {
		if m.Handover != nil && from == holder && len(m.Handover.Runs) > 0 && offeredAt.IsZero() {
			offeredAt = s.now
			offer := *m
			s.cores[next].endpoints[m.Handover.Endpoint.ID].unreachableUntil = s.now.Add(150 * time.Millisecond)
			s.after(250*time.Millisecond, func() { // the offer arrives, and the answer to its envelope is late
				s.step(holder, cornelwall.Undelivered{Envelope: cornelwall.Envelope{From: holder, To: next, Messages: []cornelwall.Message{offer}}})
			})
		}
		if age := s.now.Sub(offeredAt); from == next && to == holder && !offeredAt.IsZero() && age > 240*time.Millisecond && age < 900*time.Millisecond {
			return 900*time.Millisecond - age // long enough for the session of the next holder to end
		}
		return 0
	}
	s.addEntry(next)
	s.step(next, endpointsListed(list))
	s.advance(5 * time.Second)
	assert.Assert(t, !offeredAt.IsZero(), "no endpoint is offered with its run")
	assert.Equal(t, len(s.starts), 1, "the task is started again")
}
