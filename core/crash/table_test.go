package crash

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

const task = "00000000000000aa.0.0.0"

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	for i := range maxRecords + 10 {
		id := cornelwall.RunID{Task: task, Run: uint64(i + 1)}
		table.Merge(&cornelwall.RunCrash{RunID: id, Endpoint: "x1", Boot: int64(i)}, now.Add(time.Duration(i)), cornelwall.Incarnation{})
	}
	assert.Equal(t, len(table.byRun), maxRecords)
	assert.Assert(t, table.byRun[cornelwall.RunID{Task: task, Run: 10}] == nil, "the oldest is kept")
	assert.Assert(t, slices.Contains(table.byEndpoint["x1"], table.inOrder[0]))
	table.Expire(now.Add(24 * time.Hour))
	assert.Equal(t, len(table.byRun)+len(table.byBatch)+len(table.byEndpoint)+len(table.inOrder), 0)
}
