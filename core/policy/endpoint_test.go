package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndpointChoice checks which of two endpoints gets a run of 100 ms that is due after 200 ms, or
// that neither does.
func TestEndpointChoice(t *testing.T) {
	const none = -1
	for _, tc := range []struct {
		name    string
		due     time.Duration
		options [2]EndpointOption
		want    int
	}{
		{"best fit", 200 * ms, [2]EndpointOption{{CoresLeft: 9000}, {CoresLeft: 1000}}, 1},
		{"slow endpoint last", 450 * ms, [2]EndpointOption{{CoresLeft: 0, Slowdown: 4, IsSlow: true}, {CoresLeft: 9000}}, 1},
		{"endpoint to avoid last", 200 * ms, [2]EndpointOption{{CoresLeft: 0, Avoid: true}, {CoresLeft: 9000}}, 1},
		{"other rack last", 200 * ms, [2]EndpointOption{{CoresLeft: 0, OtherRack: true}, {CoresLeft: 9000}}, 1},
		{"slow endpoint to avoid", 450 * ms, [2]EndpointOption{{Slowdown: 4, IsSlow: true, Avoid: true}, {Slowdown: 4, IsSlow: true}}, 1},
		{"too slow to be on time", 200 * ms, [2]EndpointOption{{Slowdown: 4, IsSlow: true}, {Slowdown: 5, IsSlow: true}}, none},
		{"slow, but of use to a late run", 50 * ms, [2]EndpointOption{{Slowdown: 9, IsSlow: true}, {Slowdown: 4, IsSlow: true}}, 1},
		{"too slow to be of use", 50 * ms, [2]EndpointOption{{Slowdown: 9, IsSlow: true}, {Slowdown: 9, IsSlow: true}}, none},
		{"suspected task prefers an empty endpoint, even one to avoid", 200 * ms, [2]EndpointOption{{Runs: 1, Suspicion: Suspected}, {CoresLeft: 9000, Suspicion: Suspected, Avoid: true}}, 1},
		{"suspected task shares if none is empty", 200 * ms, [2]EndpointOption{{Runs: 1, Suspicion: Suspected, CoresLeft: 9000}, {Runs: 1, Suspicion: Suspected}}, 1},
		{"isolated task waits for an empty endpoint", 200 * ms, [2]EndpointOption{{Runs: 1, Suspicion: Isolated}, {Runs: 2, Suspicion: Isolated}}, none},
		{"isolated task on an empty endpoint", 200 * ms, [2]EndpointOption{{Runs: 1, Suspicion: Isolated}, {Suspicion: Isolated}}, 1},
		{"others run beside a suspected task last", 200 * ms, [2]EndpointOption{{Runs: 1, Beside: Suspected}, {Runs: 1, CoresLeft: 9000}}, 1},
		{"others run beside a suspected task rather than on a slow endpoint", 450 * ms, [2]EndpointOption{{Slowdown: 4, IsSlow: true}, {Runs: 1, Beside: Suspected}}, 1},
		{"others don't run beside an isolated task", 200 * ms, [2]EndpointOption{{Runs: 1, Beside: Isolated}, {Runs: 1, Beside: Isolated}}, none},
		{"trial run", 200 * ms, [2]EndpointOption{{Slowdown: 9, IsSlow: true}, {Slowdown: 9, IsSlow: true, MayTry: true}}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := &Waiting{Estimate: 100 * ms, Due: now.Add(tc.due), UsefulUntil: now.Add(600 * ms)}
			best, bestCost := none, 0
			for i := range tc.options {
				if cost, ok := tc.options[i].Cost(now, w); ok && (best == none || cost < bestCost) {
					best, bestCost = i, cost
				}
			}
			assert.Equal(t, best, tc.want)
		})
	}
}
