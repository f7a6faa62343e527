package node_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestStragglersFillDataCentre fills every slot of a data centre with stragglers after
// its tasks have been short. Later tasks must run in the other data centre, which is
// idle.
func TestStragglersFillDataCentre(t *testing.T) {
	c := newCluster(t, 2, 1)
	run := func(took time.Duration, tasks int) uint64 {
		c.taskTime = took
		req := c.submit("dc0-e0", c.draw("dc0-e0"), tasks)
		c.Advance(2 * time.Second)
		return req
	}
	for range 20 {
		assert.Equal(t, c.awaitAnswer(run(20*time.Millisecond, 8), 0).Outcome, cornelwall.Done)
	}
	run(time.Hour, 16)
	assert.Equal(t, c.awaitAnswer(run(20*time.Millisecond, 2), 0).Outcome, cornelwall.Done)
}
