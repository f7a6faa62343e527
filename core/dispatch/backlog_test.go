package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/policy"
)

// TestBacklogValueCountsTasksElsewhere queues tasks whose batches have another task at another
// holder. Such a task counts as on time only if the other one, which waits for a place too, can
// still finish in time. Once the other one has started, the waiting task has a higher value.
func TestBacklogValueCountsTasksElsewhere(t *testing.T) {
	const estimate = 100 * time.Millisecond
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr}, now)
	ep := c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}})
	c.acquire(ep, nil) // nothing starts there before a poll is answered
	assign := func(name string, count int, due time.Duration) *run {
		id := cornelwall.RunID{Task: name, Run: 1}
		c.handleAssign(self, &cornelwall.Assign{
			Service: "s", DueIn: due, UsefulFor: time.Second, Remaining: 1, Count: count,
			Tasks: []cornelwall.AssignTask{{RunID: id, Need: cornelwall.Resources{Cores: 8000}, Estimate: estimate}},
		})
		return c.runs[id]
	}
	freeInterval := estimate / 2 // two tasks fit, so that a place becomes free about this often
	alone := assign("a.0.0.0", 1, estimate)
	onTime := assign("b.0.0.0", 2, estimate+freeInterval)
	late := assign("c.0.0.0", 2, estimate+freeInterval-time.Millisecond)
	values := c.backlogValues()
	assert.Equal(t, values[alone], 1.0)
	assert.Equal(t, values[onTime], 1.0)
	assert.Equal(t, values[late], 0.2)

	c.handleBatchProgress(&cornelwall.BatchProgress{Runs: []cornelwall.RunID{late.id}, Remaining: 0.5})
	assert.Equal(t, c.backlogValues()[late], 2.0)
}

// TestBatchProgressGoesToHoldersOfWaitingTasks starts the first of six tasks. The progress of the
// batch must go to the holder at which another one waits, but not to those that return a task which
// cannot start at once.
func TestBatchProgressGoesToHoldersOfWaitingTasks(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr}, now)
	j := &job{
		id: "a", batch: &cornelwall.BatchJob{Steps: []cornelwall.Step{{Count: 6}}}, estimates: []policy.StepEstimate{{Current: 50 * time.Millisecond}},
		reportedRemaining: 1, due: now.Add(100 * time.Millisecond), usefulUntil: now.Add(300 * time.Millisecond),
	}
	holders := make([]cornelwall.Incarnation, 6)
	for i := range holders {
		holders[i] = cornelwall.Incarnation{DataCentre: "dc0", Entry: fmt.Sprint("h", i), Epoch: 1}
		c.getOrAddPeer(cornelwall.Member{ID: holders[i], Addr: addr}, true)
		task := &task{job: j, name: fmt.Sprint("a.0.0.", i), state: taskAssigned, holder: holders[i], returnIfBusy: i > 1}
		task.run = c.newRunID(task)
		c.tasksByRun[task.run] = task
		j.tasks = append(j.tasks, task)
	}
	c.commands = nil
	c.handleRunsStarted(holders[0], &cornelwall.RunsStarted{Endpoint: "x1", Fence: 1, Runs: []cornelwall.RunID{j.tasks[0].run}})
	assert.Equal(t, len(c.commands), 1)
	s := c.commands[0].(cornelwall.Send)
	assert.Equal(t, s.To, holders[1])
	assert.DeepEqual(t, s.Message.BatchProgress, &cornelwall.BatchProgress{
		Runs: []cornelwall.RunID{j.tasks[1].run}, Remaining: 5.0 / 6,
		Estimates: []time.Duration{50 * time.Millisecond}, DueIn: 100 * time.Millisecond, UsefulFor: 300 * time.Millisecond,
	})
}
