package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestRunEndsAlthoughItsWithdrawalWaits lets a caller leave while only heartbeats pass between the owner of its batch and
// the holder. The run must end before the caller may send the batch to another entry.
func TestRunEndsAlthoughItsWithdrawalWaits(t *testing.T) {
	s, owner, _ := newOwnerAndHolder(t)
	s.step(owner, cornelwall.SubmitBatch{Req: 1, Host: "h", Path: "/q/1", TimeLeft: 9 * time.Second, Batch: &cornelwall.BatchJob{
		ID: "00000000000000ab", Steps: []cornelwall.Step{{Count: 1, Need: cornelwall.Resources{Cores: 8000}, Estimate: 3 * time.Second}},
	}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(s.running), 1)

	s.extraDelay = func(_, _ cornelwall.Incarnation, m *cornelwall.Message) time.Duration {
		if m.SessionHeartbeat != nil {
			return 0
		}
		return 8 * time.Second
	}
	s.step(owner, cornelwall.CallerGone{Req: 1})
	s.advance(holderTimeout)
	assert.Equal(t, len(s.running), 0, "the run goes on although its owner has given it up")
}

// TestHeartbeatProvesNothingIfItListsNotAllWithdrawals withdraws more runs at one holder than a heartbeat lists. It must
// not acknowledge anything, as the holder would go on with the runs that are missing.
func TestHeartbeatProvesNothingIfItListsNotAllWithdrawals(t *testing.T) {
	h := newTestHolder(t)
	p := h.c.peers[h.owner]
	for i := range uint64(maxListedWithdraw + 1) {
		h.c.awaitEnd(cornelwall.RunID{Task: "c.0.0.0", Run: i}, "c", p.id)
	}
	h.c.now = h.c.now.Add(withdrawalWait)
	m := h.c.nextHeartbeat(h.c.baseHeartbeat(), p)
	assert.Equal(t, len(m.Withdrawn), maxListedWithdraw)
	assert.Equal(t, m.AckedSeq, uint64(0))
	h.c.confirmEnd(cornelwall.RunID{Task: "c.0.0.0", Run: 0})
	m = h.c.nextHeartbeat(h.c.baseHeartbeat(), p)
	assert.Equal(t, len(m.Withdrawn), maxListedWithdraw)
	assert.Equal(t, m.AckedSeq, p.receivedSeq)
}
