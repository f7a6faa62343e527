package dispatch

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/leased"
)

const taskCores = 5000 // of each task in the tests of this file

// TestNothingStartsAtShrunkEndpointUntilItFits shrinks an endpoint under the runs that it has, grows it again
// and lets the news come in each way in which an entry hears of a record.
func TestNothingStartsAtShrunkEndpointUntilItFits(t *testing.T) {
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	other := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	record := func(cores int, rev int64) cornelwall.Endpoint {
		return cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: cores}, Boot: 5, Revision: rev}
	}
	from := func(m cornelwall.Message) cornelwall.Event {
		return cornelwall.Receive{Envelope: cornelwall.Envelope{From: other, To: self, Messages: []cornelwall.Message{m}}}
	}
	for _, tc := range []struct {
		name string
		news func(cores int, rev int64) cornelwall.Event
	}{
		{"own list", func(cores int, rev int64) cornelwall.Event {
			return cornelwall.EndpointsListed{List: []cornelwall.Endpoint{record(cores, rev)}, Revision: rev}
		}},
		{"update by another entry", func(cores int, rev int64) cornelwall.Event {
			return from(cornelwall.Message{EndpointUpdate: &cornelwall.EndpointUpdate{FromRevision: 1, ToRevision: rev, Endpoints: []cornelwall.Endpoint{record(cores, rev)}}})
		}},
		{"offer of the endpoint", func(cores int, rev int64) cornelwall.Event {
			return from(cornelwall.Message{Handover: &cornelwall.Handover{Endpoint: record(cores, rev), Fence: 1, Offer: uint64(rev)}})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
			c := New(Config{Self: self, Addr: addr, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, now)
			var started []cornelwall.RunID
			step := func(ev cornelwall.Event) {
				for _, cmd := range c.Step(now, ev) {
					if cmd, ok := cmd.(cornelwall.StartRun); ok {
						started = append(started, cmd.Run)
					}
				}
			}
			step(cornelwall.MembersListed{List: []cornelwall.Member{{ID: other, Addr: addr}}})
			step(cornelwall.EndpointsListed{List: []cornelwall.Endpoint{record(16000, 2)}, Revision: 2})
			c.acquire(c.endpoints["x1"], nil)
			l := c.endpoints["x1"].lease
			step(cornelwall.PollResult{Endpoint: "x1", Fence: l.fence, Seq: l.lastPoll, Boot: 5, Clock: time.Second})
			assign := func(n uint64) {
				c.handleAssign(self, &cornelwall.Assign{Service: "s", Tasks: []cornelwall.AssignTask{{
					RunID: cornelwall.RunID{Task: fmt.Sprintf("a.0.0.%d", n), Run: n}, Need: cornelwall.Resources{Cores: taskCores}, Estimate: 3 * time.Second,
				}}, DueIn: 3 * time.Second, UsefulFor: 3 * time.Second})
				step(cornelwall.Tick{})
			}
			assign(1)
			assign(2)
			assert.Equal(t, len(started), 2)

			step(tc.news(6000, 7))
			assign(3)
			assert.Equal(t, len(started), 2, "a task has started beside two for which there is no room any more")
			step(tc.news(16000, 3))
			assert.Equal(t, len(started), 2, "an older record has replaced a newer one")
			step(cornelwall.PollResult{Endpoint: "x1", Fence: l.fence, Seq: l.lastPoll, Boot: 5, Clock: 2 * time.Second, Ended: []cornelwall.RunEnded{{Seq: 1, RunID: started[0]}}})
			assert.Equal(t, len(started), 2, "a task has started beside one in a room for one")
			step(tc.news(16000, 9))
			assert.Equal(t, len(started), 3, "the task does not start in the room that has grown again")
		})
	}
}

// TestNextHolderCountsWhatIsBeingStopped shrinks an endpoint that does not guard its capacity, lets callers
// leave, so that runs are being stopped there, and stops or kills the holder shortly after that.
func TestNextHolderCountsWhatIsBeingStopped(t *testing.T) {
	for _, killed := range []bool{false, true} {
		for lead := -60 * time.Millisecond; lead <= 60*time.Millisecond; lead += 10 * time.Millisecond {
			t.Run(fmt.Sprintf("killed %v, callers leave %s before", killed, lead), func(t *testing.T) {
				playShrunkHandover(t, killed, lead)
			})
		}
	}
}

func playShrunkHandover(t *testing.T, killed bool, lead time.Duration) {
	s := newSimulation(t)
	holder := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	next := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	info := cornelwall.Endpoint{ID: "x1", Service: "s", Addr: s.addr(100), DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}, Boot: s.now.UnixMilli()}
	ep := s.addEndpoint(info)
	ep.Capacity.Cores = 1 << 20 // it starts whatever it is told to
	ep.NeedOf = func(string) cornelwall.Resources { return cornelwall.Resources{Cores: taskCores} }
	ep.Simulate = func(cornelwall.RunID) leased.SimulatedRun {
		return leased.SimulatedRun{Duration: 400 * time.Millisecond}
	}
	started, onStart := 0, ep.OnStart
	ep.OnStart = func(now time.Time, id cornelwall.RunID) {
		onStart(now, id)
		started++
		if used := taskCores * len(ep.Running(now)); used > info.Capacity.Cores {
			t.Errorf("%s: %v brings the endpoint to %d of %d", now.Format("05.000"), id, used, info.Capacity.Cores)
		}
	}
	rev := int64(0)
	list := func(cores int) {
		rev++
		info.Capacity.Cores, info.Revision = cores, rev
		for _, id := range s.order {
			s.step(id, cornelwall.EndpointsListed{List: []cornelwall.Endpoint{info}, Revision: rev})
		}
	}
	req := uint64(0)
	submit := func(id cornelwall.Incarnation, count int) uint64 {
		req++
		s.step(id, cornelwall.SubmitBatch{Req: req, Host: "h", Path: "/q/1", TimeLeft: 9 * time.Second, Batch: &cornelwall.BatchJob{
			ID: fmt.Sprintf("%016x", req), Steps: []cornelwall.Step{{Count: count, Need: cornelwall.Resources{Cores: taskCores}, Estimate: 400 * time.Millisecond}},
		}})
		return req
	}
	s.addEntry(holder)
	list(16000)
	s.advance(1500 * time.Millisecond)
	assert.Equal(t, s.cores[holder].Held(), 1)
	s.addEntry(next)
	list(16000)
	s.advance(100 * time.Millisecond)
	if s.cores[next].Held() == 1 {
		holder, next = next, holder
	}
	first := submit(holder, 3)
	s.advance(50 * time.Millisecond)
	submit(next, 3) // it waits
	list(6000)
	s.after(100*time.Millisecond, func() { s.step(holder, cornelwall.CallerGone{Req: first}) })
	s.after(100*time.Millisecond+lead, func() {
		if !killed {
			s.step(holder, cornelwall.Stop{})
			return
		}
		delete(s.cores, holder)
		s.step(next, cornelwall.MembersListed{List: []cornelwall.Member{{ID: next, Addr: s.addr(slices.Index(s.order, next))}}})
	})
	s.advance(3 * time.Second)
	before := started
	submit(next, 2)
	s.advance(3 * time.Second)
	assert.Assert(t, started > before, "nothing starts at the next holder")
}
