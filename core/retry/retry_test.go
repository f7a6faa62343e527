package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cornelwall/core/retry"
)

func TestBudget(t *testing.T) {
	b := retry.NewBudget(0.5, 2)
	assert.Equal(t, taken(b), 2)
	b.Started()
	assert.Assert(t, !b.Take())
	b.Started()
	assert.Assert(t, b.Take())
	for range 100 {
		b.Started()
	}
	assert.Equal(t, taken(b), 2)
}

// taken empties the budget and returns how much was in it.
func taken(b *retry.Budget) int {
	n := 0
	for b.Take() {
		n++
	}
	return n
}
