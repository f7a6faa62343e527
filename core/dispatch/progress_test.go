package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestEndpointWithoutProgressIsNotSlow runs a task on an endpoint that always reports a progress of 0. Its
// run must not count as standing still.
func TestEndpointWithoutProgressIsNotSlow(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	for i := range 5 {
		h.advance(100 * time.Millisecond)
		h.answerPoll(h.lease.fence, 1, 30*time.Second+time.Duration(i+1)*100*time.Millisecond, h.run)
	}
	assert.Equal(t, h.c.runs[h.run].state, runRunning)
	assert.Assert(t, !h.c.isSlow(h.lease))
}
