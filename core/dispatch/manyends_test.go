package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// answerWithEnds answers the last poll with ends of other runs, up to a number, and with the given ones after them.
func (h *testHolder) answerWithEnds(clock time.Duration, others int, last ...cornelwall.RunEnded) {
	ev := cornelwall.PollResult{Endpoint: "x1", Fence: h.lease.fence, Seq: h.lease.lastPoll, Boot: 1, Clock: clock}
	for n := range others {
		ev.Ended = append(ev.Ended, cornelwall.RunEnded{Seq: int64(n + 1), RunID: cornelwall.RunID{Task: "z.0.0.0", Run: uint64(n + 1)}, End: cornelwall.RunDone})
	}
	ev.Ended = append(ev.Ended, last...)
	h.step(ev)
}

// TestEndThatIsNotListedYetIsNotLost guards against a run that counts as lapsed although it is done: an endpoint lists 500 ends at a
// time, and this one comes with the next answer.
func TestEndThatIsNotListedYetIsNotLost(t *testing.T) {
	h := newTestHolder(t)
	h.answerOrder(false, cornelwall.RefusedNone, 30*time.Second)
	h.advance(pollWait + pollMargin)
	h.answerWithEnds(30*time.Second+500*time.Millisecond, 500)
	assert.Equal(t, len(h.results), 0, "the run is reported as ended")
	h.answerWithEnds(30*time.Second+510*time.Millisecond, 0, cornelwall.RunEnded{Seq: 501, RunID: h.run, End: cornelwall.RunDone})
	assert.Equal(t, len(h.results), 1)
	assert.Equal(t, h.results[0].End, cornelwall.RunDone)
}

// TestAcquisitionWaitsForAllEnds guards against an endpoint that is announced as acquired, with the runs that have lapsed there, before all
// ends are listed.
func TestAcquisitionWaitsForAllEnds(t *testing.T) {
	h := newTestHolder(t)
	h.c.handleRestart(h.lease, 1)
	h.answerWithEnds(time.Second, 500)
	assert.Equal(t, h.lease.phase, phaseAcquiring)
	h.answerWithEnds(time.Second, 0)
	assert.Equal(t, h.lease.phase, phaseReady)
}
