package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestWaitingRunOfOwnerThatStoodStillIsReturned lets an owner stand still for longer than its proof lasts while a task of its
// waits at a holder. The holder drops that task, which must not stay assigned there for ever.
func TestWaitingRunOfOwnerThatStoodStillIsReturned(t *testing.T) {
	s, owner, holder := newOwnerAndHolder(t)
	s.step(owner, cornelwall.SubmitBatch{Req: 1, Host: "h", Path: "/q/1", TimeLeft: time.Minute, Batch: &cornelwall.BatchJob{
		ID: "00000000000000ab", Steps: []cornelwall.Step{{Count: 2, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second}},
	}})
	s.advance(300 * time.Millisecond)
	assert.Equal(t, len(s.cores[holder].backlog), 1)

	const stoodStill = 700 * time.Millisecond
	stoppedAt := s.now
	s.extraDelay = func(_, to cornelwall.Incarnation, _ *cornelwall.Message) time.Duration {
		if to != owner {
			return 0
		}
		return max(0, stoodStill-s.now.Sub(stoppedAt))
	}
	all := s.order
	s.order = []cornelwall.Incarnation{holder}
	s.advance(stoodStill)
	s.order = all
	s.advance(20 * time.Second)
	assert.Equal(t, len(s.cores[owner].jobs), 0, "the batch waits for a task that no holder has")
}
