package cornelwall

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBatchTooLargeIsRefused checks batches with figures that overflow when they are added up. Two steps
// of 2^62 tasks each were accepted, and every entry that got the batch built its tasks until it was
// killed for its memory.
func TestBatchTooLargeIsRefused(t *testing.T) {
	step := func(change func(s *Step)) []Step {
		s := Step{Count: 1, Need: Resources{Cores: 1000}, Estimate: time.Second}
		change(&s)
		return []Step{s, s, s, s}
	}
	for _, tc := range []struct {
		name  string
		steps []Step
		valid bool
	}{
		{"all tasks that are allowed", step(func(s *Step) { s.Count = MaxBatchTasks / 4 }), true},
		{"one step too many", append(step(func(s *Step) { s.Count = MaxBatchTasks / 4 }), Step{Count: 1}), false},
		{"2^62 tasks in each of two steps", step(func(s *Step) { s.Count = 1 << 62 })[:2], false},
		{"a sum that is 1 after an overflow", []Step{{Count: math.MaxInt}, {Count: math.MaxInt}, {Count: 3}}, false},
		{"no steps", nil, false},
		{"a negative count", step(func(s *Step) { s.Count = -1 }), false},
		{"cores near the largest integer", step(func(s *Step) { s.Need.Cores = 1 << 62 }), false},
		{"memory near the largest integer", step(func(s *Step) { s.Need.Memory = 1 << 62 }), false},
		{"the longest duration", step(func(s *Step) { s.Estimate = math.MaxInt64 }), false},
		{"a negative duration", step(func(s *Step) { s.Estimate = -1 }), false},
	} {
		b := BatchJob{ID: "00000000000000ab", Steps: tc.steps}
		assert.Check(t, b.Check() == nil == tc.valid, tc.name)
	}
}
