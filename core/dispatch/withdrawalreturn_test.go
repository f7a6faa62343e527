package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestWithdrawalOfReturnedRunIsNotForwarded hands a run over to another entry and back. A
// withdrawal of the run must not be forwarded to that entry any more, or the two would send it to
// each other forever.
func TestWithdrawalOfReturnedRunIsNotForwarded(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	next := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e3", Epoch: 1}
	var forwarded []cornelwall.RunID
	from := func(id cornelwall.Incarnation, m cornelwall.Message) {
		for _, cmd := range h.c.Step(h.now, cornelwall.Receive{Envelope: cornelwall.Envelope{From: id, Messages: []cornelwall.Message{m}}}) {
			if s, ok := cmd.(cornelwall.Send); ok && s.Message.Withdraw != nil {
				forwarded = append(forwarded, s.Message.Withdraw.Runs...)
			}
		}
	}
	from(next, cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: h.addr, Seq: 1, Session: 8}})
	p := h.c.peers[next]
	from(next, cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: h.addr, Seq: 2, Session: 8, AckedSeq: p.sentSeq}})
	fence := h.lease.fence + fencesPerMilli
	from(next, cornelwall.Message{EndpointAcquired: &cornelwall.EndpointAcquired{Session: p.session, Endpoint: "x1", Fence: fence, Kept: []cornelwall.RunID{h.run}}})
	assert.Assert(t, h.c.endpoints["x1"].lease == nil)
	from(next, cornelwall.Message{Handover: &cornelwall.Handover{
		Session: p.session, Endpoint: h.endpointInfo(h.addr), Fence: fence, Offer: 1,
		Runs: []cornelwall.HandoverRun{{RunID: h.run, Owner: h.owner, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second}},
	}})
	h.lease = h.c.endpoints["x1"].lease
	assert.Assert(t, h.lease != nil && len(h.lease.runs) == 1, "the endpoint is not handed back with its run")
	h.step(cornelwall.PollResult{
		Endpoint: "x1", Fence: h.lease.fence, Seq: h.lease.lastPoll, Boot: 1, Clock: 31 * time.Second,
		Ended: []cornelwall.RunEnded{{Seq: 1, RunID: h.run, End: cornelwall.RunDone}},
	})
	assert.Equal(t, len(h.results), 1)
	from(h.owner, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{h.run}}})
	assert.Equal(t, len(forwarded), 0, "the withdrawal is forwarded to the entry that has handed the run back")
}

// TestWithdrawalByOwnerThatKeptRunGetsNoResult lets the owner of a run take over its endpoint and
// keep the run, and then withdraw it at the previous holder. That one must not report the run as
// unstarted.
func TestWithdrawalByOwnerThatKeptRunGetsNoResult(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	h.receive(cornelwall.Message{EndpointAcquired: &cornelwall.EndpointAcquired{
		Session: h.c.peers[h.owner].session, Endpoint: "x1", Fence: h.lease.fence + fencesPerMilli, Kept: []cornelwall.RunID{h.run},
	}})
	assert.Assert(t, h.c.endpoints["x1"].lease == nil)
	h.receive(cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{h.run}}})
	assert.Equal(t, len(h.results), 0)
}
