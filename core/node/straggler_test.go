package node_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestStragglersHoldADataCentre lets stragglers take every slot of a data centre whose
// tasks are quick as a rule. Later tasks run in the other one, which is idle.
func TestStragglersHoldADataCentre(t *testing.T) {
	c := newCluster(t, 2, 1)
	run := func(took time.Duration, tasks int) uint64 {
		c.took = took
		req := c.submit("dc0-e0", c.draw("dc0-e0"), tasks)
		c.Advance(2 * time.Second)
		return req
	}
	for range 20 {
		assert.Equal(t, c.answer(run(20*time.Millisecond, 8), 0).Outcome, cornelwall.Done)
	}
	run(time.Hour, 16)
	assert.Equal(t, c.answer(run(20*time.Millisecond, 2), 0).Outcome, cornelwall.Done)
}
