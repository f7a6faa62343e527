// Package retry bounds the starts that are made again, to a share of all starts. Only
// a start that provably did not happen is made again at all.
//
// # Usage
//
//	b := retry.NewBudget(retry.Share, retry.Burst)
//	b.Started()
//	if b.Take() { ... } // start the task again
package retry

const (
	// Ratio is the number of retries that each start allows.
	Ratio = 0.1
	// Burst is the number of retries that are allowed at once, as a machine that dies
	// refuses all its tasks together.
	Burst = 500
)

// Budget counts retries that are still allowed.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(share, burst float64) *Budget {
	return &Budget{ratio: share, burst: burst, tokens: burst}
}

// Started records a start that happened.
func (b *Budget) Started() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// Take takes one retry off the budget. It reports false if none is left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
