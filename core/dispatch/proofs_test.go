package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// holding is an entry that holds x1, with one run there of another entry.
type holding struct {
	c     *Core
	now   time.Time
	l     *lease
	run   cornelwall.RunID
	owner cornelwall.Incarnation
	addr  netip.AddrPort
	over  []cornelwall.RunResult
	last  time.Time // when an order was sent last that extends the lease
}

func newHolding(t *testing.T) *holding {
	h := &holding{
		now: time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC), addr: netip.MustParseAddrPort("10.0.0.1:7001"),
		owner: cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}, run: cornelwall.RunID{Task: "a.0.0.0", Run: 1},
	}
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	h.c = New(Config{Self: self, Addr: h.addr, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, h.now)
	h.pulse(0)
	p := h.c.peers[h.owner]
	h.pulse(p.sentSeq)
	h.c.acquire(h.c.addEndpoint(h.info(h.addr)), nil)
	h.l = h.c.endpoints["x1"].lease
	h.look(h.l.fence, 1, 30*time.Second)
	assert.Equal(t, h.l.phase, phaseReady)
	h.receive(cornelwall.Message{Assign: &cornelwall.Assign{
		Session: p.session, Service: "s", UsefulFor: 9 * time.Second, DueIn: 9 * time.Second,
		Tasks: []cornelwall.AssignTask{{RunID: h.run, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second}},
	}})
	assert.Equal(t, len(h.l.runs), 1, "the start is ordered")
	return h
}

func (h *holding) info(addr netip.AddrPort) cornelwall.Endpoint {
	return cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}}
}

func (h *holding) step(ev cornelwall.Event) {
	for _, cmd := range h.c.Step(h.now, ev) {
		switch cmd := cmd.(type) {
		case cornelwall.Send:
			if cmd.Message.RunResults != nil {
				h.over = append(h.over, cmd.Message.RunResults.Runs...)
			}
		case cornelwall.StartRun:
			h.last = h.now
		case cornelwall.PollEndpoint:
			if cmd.LeaseUntil > 0 {
				h.last = h.now
			}
		}
	}
}

func (h *holding) receive(m cornelwall.Message) {
	h.step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: h.owner, Messages: []cornelwall.Message{m}}})
}

// pulse shows that the owner hears this entry.
func (h *holding) pulse(seen uint64) {
	number := uint64(1)
	if p := h.c.peers[h.owner]; p != nil {
		number = p.receivedSeq + 1
	}
	h.receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: h.addr, Seq: number, Session: 7, AckedSeq: seen}})
}

func (h *holding) look(fence uint64, boot int64, clock time.Duration, running ...cornelwall.RunID) {
	ev := cornelwall.PollResult{Endpoint: "x1", Fence: fence, Seq: h.l.lastPoll, Boot: boot, Clock: clock}
	for _, id := range running {
		ev.Running = append(ev.Running, cornelwall.RunState{RunID: id})
	}
	h.step(ev)
}

func (h *holding) ordered(stop bool, why cornelwall.Refusal, clock time.Duration) {
	h.step(cornelwall.OrderResult{Endpoint: "x1", Fence: h.l.fence, Run: h.run, Stop: stop, Refusal: why, Clock: clock})
}

// pass lets time pass while the owner hears this entry.
func (h *holding) pass(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(tickInterval)
		h.step(cornelwall.Tick{})
		h.pulse(h.c.peers[h.owner].sentSeq)
	}
}

// TestStopOfEarlierBoot: a stop that an earlier boot took does not keep a late start from the new one.
func TestStopOfEarlierBoot(t *testing.T) {
	h := newHolding(t)
	fence := h.l.fence
	h.pass(200 * time.Millisecond)
	h.ordered(false, cornelwall.RefusedUnknown, 0)
	h.ordered(true, cornelwall.RefusedNone, 30200*time.Millisecond)
	h.now = h.now.Add(10 * time.Millisecond)
	h.look(fence, 2, 5*time.Millisecond) // the new boot takes the start until it has seen a higher fence
	assert.Assert(t, h.l.fence > fence)
	assert.Equal(t, len(h.over), 0, "said to be over by a look under the fence of the order")
	h.now = h.now.Add(10 * time.Millisecond)
	h.look(h.l.fence, 2, 15*time.Millisecond)
	assert.DeepEqual(t, h.over, []cornelwall.RunResult{{RunID: h.run, End: cornelwall.RunStopped, Endpoint: "x1", Took: 220 * time.Millisecond}})
}

// lapseAfterLongestLease checks that the run is over, and not before the longest lease that the last order may have got.
func (h *holding) lapseAfterLongestLease(t *testing.T) {
	t.Helper()
	for range 100 {
		if len(h.over) == 0 {
			h.pass(tickInterval)
		}
	}
	lease := time.Duration(float64(h.c.cfg.Limits.MaxLease) / (1 - clockDrift))
	assert.Equal(t, len(h.over), 1)
	assert.Assert(t, h.now.Sub(h.last) >= lease, "over %s after an order that may have extended the lease by %s", h.now.Sub(h.last), lease)
}

// TestLapseOfUnnoticedBoot: a new boot cuts a deadline on the old clock to its longest lease.
func TestLapseOfUnnoticedBoot(t *testing.T) {
	h := newHolding(t)
	h.ordered(false, cornelwall.RefusedNone, 10*time.Millisecond)
	h.lapseAfterLongestLease(t)
}

// TestOldAddressOfMovedEndpoint: another endpoint at its old address tells nothing of the runs at the new one.
func TestOldAddressOfMovedEndpoint(t *testing.T) {
	h := newHolding(t)
	h.ordered(false, cornelwall.RefusedNone, 30*time.Second)
	moved := h.info(netip.MustParseAddrPort("10.0.0.2:7001"))
	moved.Boot = 2
	h.step(cornelwall.EndpointsListed{Revision: 1, List: []cornelwall.Endpoint{moved}})
	h.now = h.now.Add(10 * time.Millisecond)
	h.look(h.l.fence, 2, 500*time.Millisecond, h.run) // it ran on with a start that was late
	h.step(cornelwall.PollResult{Endpoint: "x1", Fence: h.l.firstFence, Seq: 1, Refusal: cornelwall.RefusedBoot})
	assert.Equal(t, len(h.over), 0)
}
