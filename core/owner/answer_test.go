package owner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/owner"
)

// TestLargeResults ends a job whose results are larger than an answer may be. The job fails as a
// whole, since an answer of that size cannot be forwarded to a caller at another entry.
func TestLargeResults(t *testing.T) {
	now := time.Unix(1700000000, 0)
	spec := &cornelwall.Job{Ticket: cornelwall.Ticket{Seq: 1}, Profile: "holds", Tasks: make([]cornelwall.Task, 6)}
	j := owner.NewTable(time.Minute, 10, 1<<30).Add(spec, 1, now, now.Add(time.Second), now.Add(time.Minute))
	for i := range 5 {
		assert.Assert(t, j.Start(i))
		ended := j.End(i, cornelwall.Result{Outcome: cornelwall.Done, Body: make([]byte, 4<<20)})
		assert.Equal(t, ended, i == 4)
	}
	assert.Equal(t, j.Answer.Outcome, cornelwall.Failed)
	assert.Equal(t, j.Answer.Reason, cornelwall.ReasonTooLarge)
	for _, task := range j.Answer.Tasks {
		assert.Equal(t, len(task.Body), 0)
	}
	assert.Equal(t, j.Answer.Tasks[5].Outcome, cornelwall.NotRun)
}
