package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// testHolder is an entry that holds x1, where it has ordered the start of one run of another entry.
type testHolder struct {
	c          *Core
	now        time.Time
	lease      *lease
	run        cornelwall.RunID
	owner      cornelwall.Incarnation
	addr       netip.AddrPort
	results    []cornelwall.RunResult
	extendedAt time.Time // when the last order that extends the lease was sent
}

func newTestHolder(t *testing.T) *testHolder {
	h := &testHolder{
		now: time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC), addr: netip.MustParseAddrPort("10.0.0.1:7001"),
		owner: cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}, run: cornelwall.RunID{Task: "a.0.0.0", Run: 1},
	}
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	h.c = New(Config{Self: self, Addr: h.addr, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, h.now)
	h.sendOwnerHeartbeat(0)
	p := h.c.peers[h.owner]
	h.sendOwnerHeartbeat(p.sentSeq)
	h.c.acquire(h.c.addEndpoint(h.endpointInfo(h.addr)), nil)
	h.lease = h.c.endpoints["x1"].lease
	h.answerPoll(h.lease.fence, 1, 30*time.Second)
	assert.Equal(t, h.lease.phase, phaseReady)
	h.assign(t)
	return h
}

// assign assigns h.run, which starts at once.
func (h *testHolder) assign(t *testing.T) {
	t.Helper()
	h.receive(cornelwall.Message{Assign: &cornelwall.Assign{
		Session: h.c.peers[h.owner].session, Service: "s", UsefulFor: 9 * time.Second, DueIn: 9 * time.Second,
		Tasks: []cornelwall.AssignTask{{RunID: h.run, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second}},
	}})
	assert.Equal(t, len(h.lease.runs), 1, "the start is not ordered")
}

func (h *testHolder) endpointInfo(addr netip.AddrPort) cornelwall.Endpoint {
	return cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}}
}

func (h *testHolder) step(ev cornelwall.Event) {
	for _, cmd := range h.c.Step(h.now, ev) {
		switch cmd := cmd.(type) {
		case cornelwall.Send:
			if cmd.Message.RunResults != nil {
				h.results = append(h.results, cmd.Message.RunResults.Runs...)
			}
		case cornelwall.StartRun:
			h.extendedAt = h.now
		case cornelwall.PollEndpoint:
			if cmd.LeaseUntil > 0 {
				h.extendedAt = h.now
			}
		}
	}
}

func (h *testHolder) receive(m cornelwall.Message) {
	h.step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: h.owner, Messages: []cornelwall.Message{m}}})
}

// sendOwnerHeartbeat delivers a heartbeat of the owner that acknowledges the holder's heartbeats up
// to a number.
func (h *testHolder) sendOwnerHeartbeat(acked uint64) {
	seq := uint64(1)
	if p := h.c.peers[h.owner]; p != nil {
		seq = p.receivedSeq + 1
	}
	h.receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: h.addr, Seq: seq, Session: 7, AckedSeq: acked}})
}

func (h *testHolder) answerPoll(fence uint64, boot int64, clock time.Duration, running ...cornelwall.RunID) {
	ev := cornelwall.PollResult{Endpoint: "x1", Fence: fence, Seq: h.lease.lastPoll, Boot: boot, Clock: clock}
	for _, id := range running {
		ev.Running = append(ev.Running, cornelwall.RunState{RunID: id})
	}
	h.step(ev)
}

func (h *testHolder) answerOrder(stop bool, why cornelwall.Refusal, clock time.Duration) {
	h.step(cornelwall.OrderResult{Endpoint: "x1", Fence: h.lease.fence, Run: h.run, Stop: stop, Refusal: why, Clock: clock})
}

// advance lets time pass while the owner answers the holder's heartbeats.
func (h *testHolder) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(tickInterval)
		h.step(cornelwall.Tick{})
		h.sendOwnerHeartbeat(h.c.peers[h.owner].sentSeq)
	}
}

// TestStopAckedByEarlierBootDoesNotCount restarts an endpoint that has acknowledged a stop. The
// start may still reach the new boot, so that the run must not count as ended before a poll under a
// new fence does not list it.
func TestStopAckedByEarlierBootDoesNotCount(t *testing.T) {
	h := newTestHolder(t)
	fence := h.lease.fence
	h.advance(200 * time.Millisecond)
	h.answerOrder(false, cornelwall.RefusedUnknown, 0)
	h.answerOrder(true, cornelwall.RefusedNone, 30200*time.Millisecond)
	h.now = h.now.Add(10 * time.Millisecond)
	h.answerPoll(fence, 2, 5*time.Millisecond) // the new boot accepts the start until it has seen a higher fence
	assert.Assert(t, h.lease.fence > fence)
	assert.Equal(t, len(h.results), 0, "a poll under the fence of the start ends the run")
	h.now = h.now.Add(10 * time.Millisecond)
	h.answerPoll(h.lease.fence, 2, 15*time.Millisecond)
	assert.DeepEqual(t, h.results, []cornelwall.RunResult{{RunID: h.run, End: cornelwall.RunStopped, Endpoint: "x1", Took: 220 * time.Millisecond}})
}

// checkLapseAfterLongestLease checks that the run ends, and not before the end of the longest lease
// that the last order may have been granted.
func (h *testHolder) checkLapseAfterLongestLease(t *testing.T) {
	t.Helper()
	for range 100 {
		if len(h.results) == 0 {
			h.advance(tickInterval)
		}
	}
	lease := time.Duration(float64(h.c.cfg.Limits.MaxLease) / (1 - clockDrift))
	assert.Equal(t, len(h.results), 1)
	assert.Assert(t, h.now.Sub(h.extendedAt) >= lease, "ends %s after an order that may have extended the lease by %s", h.now.Sub(h.extendedAt), lease)
}

// TestLapseAfterRestartWaitsForLongestLease lets a start reach an endpoint after a restart, which
// has reset its clock. The new boot cuts the deadline of the start, which is a time on the old
// clock, to its longest lease, so that the run may last that long.
func TestLapseAfterRestartWaitsForLongestLease(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedNone, 10*time.Millisecond)
	h.checkLapseAfterLongestLease(t)
}

// TestPollRefusedAtOldAddressEndsNoRun moves an endpoint to a new address. A refusal by another
// endpoint at the old address must not end the run at the new one.
func TestPollRefusedAtOldAddressEndsNoRun(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	moved := h.endpointInfo(netip.MustParseAddrPort("10.0.0.2:7001"))
	moved.Boot = 2
	h.step(cornelwall.EndpointsListed{Revision: 1, List: []cornelwall.Endpoint{moved}})
	h.now = h.now.Add(10 * time.Millisecond)
	h.answerPoll(h.lease.fence, 2, 500*time.Millisecond, h.run) // the start arrived late, after the restart
	h.step(cornelwall.PollResult{Endpoint: "x1", Fence: h.lease.firstFence, Seq: 1, Refusal: cornelwall.RefusedBoot})
	assert.Equal(t, len(h.results), 0)
}
