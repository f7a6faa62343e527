package peer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// queueConfig returns a configuration of n queues.
func queueConfig(version uint64, n int) *cornelwall.QueueConfig {
	c := &cornelwall.QueueConfig{Version: version}
	for i := range n {
		c.Queues = append(c.Queues, cornelwall.Queue{
			Name: fmt.Sprintf("r-%08d", i), Host: "queues.ikeja.example", Prefix: fmt.Sprintf("/r-%08d/", i), Service: "assessor",
			Priority: 2, Attempts: 3, Timeout: 5 * time.Second, Objective: 60 * time.Millisecond, Stretch: 1.6,
		})
	}
	return c
}

func runID(i int) cornelwall.RunID {
	return cornelwall.RunID{Task: fmt.Sprintf("23a1bb9e847373e3.0.0.%d", i), Run: uint64(i + 1)}
}

// largeMessages returns one message of each kind that grows with the fleet or with a batch.
func largeMessages(n int) map[string]cornelwall.Message {
	beat := &cornelwall.SessionHeartbeat{Addr: addr, Waiting: map[string]int{}}
	removed := &cornelwall.EndpointUpdate{}
	crashes := &cornelwall.CrashReport{}
	assign := &cornelwall.Assign{Service: "assessor", Spec: "spec"}
	results, withdraw := &cornelwall.RunResults{}, &cornelwall.Withdraw{}
	for i := range n {
		id := cornelwall.Incarnation{DataCentre: "ikeja", Entry: fmt.Sprintf("entry-%d", i), Epoch: 1 << 60}
		beat.Members = append(beat.Members, cornelwall.Member{ID: id, Addr: addr, Weight: 1000})
		beat.Waiting[fmt.Sprintf("r-%08d", i)] = 17
		beat.Withdrawn = append(beat.Withdrawn, runID(i))
		removed.Removed = append(removed.Removed, fmt.Sprintf("i-%010d", i))
		crashes.Crashes = append(crashes.Crashes, cornelwall.RunCrash{RunID: runID(i), Endpoint: "i-49b11a16b2", Boot: 1e12, State: cornelwall.CrashConfirmed, Age: 1e9})
		assign.Tasks = append(assign.Tasks, cornelwall.AssignTask{RunID: runID(i), Need: cornelwall.Resources{Cores: 500, Memory: 256}, Estimate: 5e7, Requires: "small"})
		results.Runs = append(results.Runs, cornelwall.RunResult{RunID: runID(i), Endpoint: "i-49b11a16b2", Took: 5e7})
		withdraw.Runs = append(withdraw.Runs, runID(i))
	}
	return map[string]cornelwall.Message{
		"endpoints": endpointList(n),
		"removed":   {EndpointUpdate: removed},
		"queues":    {QueueConfigSync: &cornelwall.QueueConfigSync{Config: queueConfig(3, n)}},
		"crashes":   {CrashReport: crashes},
		"heartbeat": {SessionHeartbeat: beat},
		"assign":    {Assign: assign},
		"results":   {RunResults: results},
		"withdraw":  {Withdraw: withdraw},
	}
}

// TestLargeMessageCountsWithItsSize compares the estimated sizes of large messages with their encoded sizes.
func TestLargeMessageCountsWithItsSize(t *testing.T) {
	const maxExcess = 4
	for name, m := range largeMessages(1000) {
		t.Run(name, func(t *testing.T) {
			b, err := NewCodec().Marshal(m)
			assert.NilError(t, err)
			size := estimateSize(&m)
			assert.Assert(t, size >= len(b) && size <= maxExcess*len(b), "estimated %d bytes, encoded %d", size, len(b))
		})
	}
}
