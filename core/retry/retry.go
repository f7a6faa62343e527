// Package retry limits retries of task starts to a ratio of all starts, with a token bucket.
// Only a start that provably did not happen is ever retried.
//
// # Usage
//
//	b := retry.NewBudget(retry.Ratio, retry.Burst)
//	b.Started()
//	if b.Take() { ... } // retry the start
package retry

const (
	// Ratio is the number of retries that each start adds to the budget.
	Ratio = 0.1
	// Burst is the maximum number of retries in the budget. It is large because a machine that
	// fails refuses all its tasks at once.
	Burst = 500
)

// Budget is a token bucket with one token for each retry that is still allowed.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Started records a start that happened.
func (b *Budget) Started() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// Take consumes one retry of the budget. It returns false if none is left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
