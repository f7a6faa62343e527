package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestOwnerConfirmsOnlyTheHolderThatItCounts reports a run of a task to its owner by the next holder of its endpoint, and
// then late by the previous one. Only the first report may be confirmed.
func TestOwnerConfirmsOnlyTheHolderThatItCounts(t *testing.T) {
	h := newTestHolder(t)
	id := cornelwall.RunID{Task: "c.0.0.0", Run: 3}
	j := &job{id: "c", batch: &cornelwall.BatchJob{ID: "c", Steps: []cornelwall.Step{{Count: 1}}}, unfinished: []int{1}}
	j.due, j.usefulUntil, j.deadline = h.now.Add(time.Minute), h.now.Add(time.Minute), h.now.Add(time.Minute)
	tk := &task{job: j, name: id.Task, run: id, state: taskRunning, endpoint: "x9", fence: 5}
	j.tasks = []*task{tk}
	h.c.tasksByRun[id] = tk
	confirmed := func(fence uint64, ids ...cornelwall.RunID) (known []cornelwall.RunID) {
		m := cornelwall.Message{RunsStarted: &cornelwall.RunsStarted{Endpoint: "x9", Fence: fence, Runs: ids, Confirm: true}}
		for _, cmd := range h.c.Step(h.now, cornelwall.Receive{Envelope: cornelwall.Envelope{From: h.owner, Messages: []cornelwall.Message{m}}}) {
			if s, ok := cmd.(cornelwall.Send); ok && s.Message.RunsKnown != nil {
				assert.Equal(t, s.To, h.owner)
				assert.Equal(t, s.Message.RunsKnown.Fence, fence)
				known = append(known, s.Message.RunsKnown.Runs...)
			}
		}
		return known
	}
	unknown := cornelwall.RunID{Task: "d.0.0.0", Run: 4}
	assert.DeepEqual(t, confirmed(6, id, unknown), []cornelwall.RunID{id})
	assert.Equal(t, tk.holder, h.owner)
	assert.Equal(t, len(confirmed(5, id)), 0)
}
