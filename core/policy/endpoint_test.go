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
			for _, bySpeed := range []bool{false, true} {
				var c EndpointChoice
				c.Reset(now, w, bySpeed, 0)
				for i := range tc.options {
					c.Add(i, &tc.options[i])
				}
				assert.Equal(t, c.Best(), tc.want, "by speed: %t", bySpeed)
			}
		})
	}
}

// TestChoiceBySpeed checks which endpoint gets a run of 100 ms, where a quarter of the endpoints runs at 0.55 times the usual
// speed and the others at 1.2.
func TestChoiceBySpeed(t *testing.T) {
	const none, slow, fast = -1, 1 / slowSpeed, 1 / fastSpeed
	for _, tc := range []struct {
		name    string
		due     time.Duration
		options []EndpointOption
		want    int
		isLate  bool
	}{
		{"a run that has time leaves the fast one free", 300 * ms, []EndpointOption{{Pace: fast}, {Pace: slow, CoresLeft: 9000}}, 1, false},
		{"a run that has none goes to the fast one", 160 * ms, []EndpointOption{{Pace: fast, CoresLeft: 9000}, {Pace: slow}}, 0, false},
		{"a run that would just miss its target goes to the fast one", 185 * ms, []EndpointOption{{Pace: fast, CoresLeft: 9000}, {Pace: slow}}, 0, false},
		{"a late run goes to the fast one", 50 * ms, []EndpointOption{{Pace: slow}, {Pace: fast, CoresLeft: 9000}}, 1, true},
		{"best fit among those that are alike", 300 * ms, []EndpointOption{{Pace: 1, CoresLeft: 9000}, {Pace: 0.85, CoresLeft: 1000}}, 1, false},
		{"alike, but too slow to be in time", 109 * ms, []EndpointOption{{Pace: 1.1}, {Pace: 0.9, CoresLeft: 9000}}, 1, false},
		{"best fit among fast ones of a late run", 50 * ms, []EndpointOption{{Pace: 0.8, CoresLeft: 9000}, {Pace: 0.9}, {Pace: slow}}, 1, true},
		{"the one to avoid last, however fast", 160 * ms, []EndpointOption{{Pace: fast, Avoid: true}, {Pace: slow}}, 1, false},
		{"more cores left than another rack costs", 300 * ms, []EndpointOption{{Pace: 1, CoresLeft: 90_000}, {Pace: 1, OtherRack: true}}, 0, false},
		{"many times slower", 150 * ms, []EndpointOption{{Pace: 6, Slowdown: 6, IsSlow: true}}, none, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c EndpointChoice
			c.Reset(now, &Waiting{Estimate: 100 * ms, Due: now.Add(tc.due), UsefulUntil: now.Add(400 * ms)}, true, 0)
			for i := range tc.options {
				c.Add(i, &tc.options[i])
			}
			assert.Equal(t, c.Best(), tc.want)
			assert.Equal(t, c.IsLate(), tc.isLate)
		})
	}
}
