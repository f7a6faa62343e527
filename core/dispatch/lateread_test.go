package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestBatchReadAfterItsDeadlineStartsNothing submits a batch that was read after its caller's deadline, for
// instance because the process stood still. The caller may have submitted it to another entry.
func TestBatchReadAfterItsDeadlineStartsNothing(t *testing.T) {
	for name, timeLeft := range map[string]time.Duration{"named by the caller": 2300 * time.Millisecond, "of the queue": 0} {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
			c := newReadyCore(now, cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1})
			now = now.Add(tickInterval)
			c.Step(now, cornelwall.Tick{})
			ev := submission(fullEndpointStep)
			ev.TimeLeft, ev.Waited = timeLeft, max(timeLeft, c.queueConfig.Queues[0].Timeout)
			var answered bool
			for _, cmd := range c.Step(now, ev) {
				switch cmd := cmd.(type) {
				case cornelwall.StartRun:
					t.Error("a task is started")
				case cornelwall.ReplyBatch:
					answered = true
					assert.Equal(t, cmd.Answer.End, cornelwall.BatchRefused)
					assert.Equal(t, cmd.Answer.Reason, cornelwall.ReasonTooLate)
				}
			}
			assert.Assert(t, answered)
			assert.Equal(t, len(c.jobs), 0)
		})
	}
}

// TestTimeBeforeBatchIsReadCountsAgainstItsTargets checks the targets of a batch that was read 1 s late.
func TestTimeBeforeBatchIsReadCountsAgainstItsTargets(t *testing.T) {
	const waited = time.Second
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	targets := func(waited time.Duration) (due, usefulUntil, deadline time.Time) {
		c := newReadyCore(now, cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1})
		ev := submission(fullEndpointStep)
		ev.Waited = waited
		c.Step(now, ev)
		j := c.jobs[ev.Batch.ID]
		assert.Assert(t, j != nil)
		return j.due, j.usefulUntil, j.deadline
	}
	due, usefulUntil, deadline := targets(0)
	lateDue, lateUsefulUntil, lateDeadline := targets(waited)
	assert.Equal(t, due.Sub(lateDue), waited)
	assert.Equal(t, usefulUntil.Sub(lateUsefulUntil), waited)
	assert.Equal(t, deadline.Sub(lateDeadline), waited)
}
