package node_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

// TestJobSpreadsOverDataCentres submits a job with more tasks than its owner's machines
// have slots. Machines of the other entries and data centres must run them too.
func TestJobSpreadsOverDataCentres(t *testing.T) {
	c := newCluster(t, 2, 2)
	used := map[string]int{}
	c.TaskResult = func(_ *fake.Host, r cornelwall.RunTask) (time.Duration, cornelwall.Result) {
		used[r.VM.DataCentre]++
		return 50 * time.Millisecond, cornelwall.Result{Outcome: cornelwall.Done, Body: r.Start.Body}
	}
	a := c.awaitAnswer(c.submit("dc0-e0", c.draw("dc0-e0"), 100), 2*time.Second)
	assert.Equal(t, a.Outcome, cornelwall.Done)
	for i, task := range a.Tasks {
		assert.Equal(t, string(task.Body), fmt.Sprint(i))
	}
	assert.Equal(t, used["dc0"]+used["dc1"], 100)
	assert.Assert(t, used["dc1"] >= 32, "slots of the other data centre stayed idle: %v", used)
}
