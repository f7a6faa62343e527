package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cornelwall/core/retry"
)

func TestBudget(t *testing.T) {
	b := retry.NewBudget(0.5, 2)
	for range 2 {
		assert.Assert(t, b.Take())
	}
	assert.Assert(t, !b.Take())
	b.Started()
	assert.Assert(t, !b.Take())
	b.Started()
	assert.Assert(t, b.Take())
	for range 100 {
		b.Started()
	}
	for range 2 {
		assert.Assert(t, b.Take())
	}
	assert.Assert(t, !b.Take())
}
