package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestListedRunGoesOnWithoutStartAnswer loses the answer to a start that the endpoint has carried out,
// as a poll lists the run. The run must go on, and must end once a later poll lists it no more.
func TestListedRunGoesOnWithoutStartAnswer(t *testing.T) {
	h := newTestHolder(t)
	fence := h.lease.fence
	h.answerPoll(fence, 1, 30010*time.Millisecond, h.run)
	h.advance(200 * time.Millisecond)
	h.answerOrder(false, cornelwall.RefusedUnknown, 0)
	assert.Equal(t, h.c.runs[h.run].state, runRunning)
	early := h.lease.lastPoll
	h.step(cornelwall.PollResult{Endpoint: "x1", Fence: fence, Seq: early, Boot: 1, Clock: 30200 * time.Millisecond})
	assert.Equal(t, len(h.results), 0, "a poll from before the answer was given up ends the run")
	h.advance(400 * time.Millisecond)
	assert.Assert(t, h.lease.lastPoll > early)
	h.answerPoll(fence, 1, 30600*time.Millisecond)
	assert.Equal(t, len(h.results), 1)
	assert.Equal(t, h.results[0].End, cornelwall.RunLapsed)
}

// TestUnansweredStartIsGivenUp leaves a start without an answer after others were answered within
// milliseconds. The run must be stopped after the usual time of an answer, but not before it.
func TestUnansweredStartIsGivenUp(t *testing.T) {
	h := newTestHolder(t)
	for range 20 {
		h.c.startReplies.Record(3 * time.Millisecond)
	}
	h.advance(2 * tickInterval)
	assert.Equal(t, h.c.runs[h.run].state, runStarting)
	h.advance(2 * tickInterval)
	assert.Equal(t, h.c.runs[h.run].state, runStopping)
}

// TestPauseOfProcessGivesUpNoStart lets the process pause right after a start. The answer may have come
// meanwhile and must be read first.
func TestPauseOfProcessGivesUpNoStart(t *testing.T) {
	h := newTestHolder(t)
	for range 20 {
		h.c.startReplies.Record(3 * time.Millisecond)
	}
	h.now = h.now.Add(250 * time.Millisecond)
	h.step(cornelwall.Tick{})
	assert.Equal(t, h.c.runs[h.run].state, runStarting)
	h.answerOrder(false, cornelwall.RefusedNone, 30250*time.Millisecond)
	assert.Equal(t, h.c.runs[h.run].state, runRunning)
}
