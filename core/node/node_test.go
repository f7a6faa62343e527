package node_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

// TestJobSpreadsOverDataCentres submits a job that is larger than the slots of its owner's machines
// and checks that machines of the other entries and data centres run it too.
func TestJobSpreadsOverDataCentres(t *testing.T) {
	c := newCluster(t, 2, 2)
	used := map[string]int{}
	c.Work = func(_ *fake.Host, r cornelwall.RunTask) (time.Duration, cornelwall.Result) {
		used[r.VM.DataCentre]++
		return 50 * time.Millisecond, cornelwall.Result{Outcome: cornelwall.Done, Body: r.Start.Body}
	}
	a := c.awaitAnswer(c.submit("dc0-e0", c.draw("dc0-e0"), 100), 2*time.Second)
	assert.Equal(t, a.Outcome, cornelwall.Done)
	for i, task := range a.Tasks {
		assert.Equal(t, string(task.Body), fmt.Sprint(i))
	}
	assert.Equal(t, used["dc0"]+used["dc1"], 100)
	assert.Assert(t, used["dc1"] >= 32, "slots of the other data centre were left idle: %v", used)
}
