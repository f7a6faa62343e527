package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load: the share of tasks that take seven times as long, and the speeds of endpoints.
const (
	longShare  = 0.03
	longFactor = 7
	slowSpeed  = 0.55
	fastSpeed  = 1.2
)

// drawRatio draws run time / estimate of a run at a speed, where estimates are up to 40 % too low or too
// high.
func drawRatio(rng *rand.Rand, speed float64) float64 {
	ratio := 1 / (speed * (0.6 + 0.8*rng.Float64()))
	if rng.Float64() < longShare {
		ratio *= longFactor
	}
	return ratio
}

// TestSpeedTellsEndpointsApart guards against an estimator that estimates off by 40 % or long tasks lead
// astray: after ten runs, 98 of 100 pairs of an endpoint at 0.55 and one at 1.2 times the usual speed must differ by more
// than a quarter, in the right order.
func TestSpeedTellsEndpointsApart(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	const pairs = 2000
	apart := 0
	for range pairs {
		var slow, fast Speed
		for i := range 10 {
			at := now.Add(time.Duration(i) * 100 * ms)
			slow.Record(at, drawRatio(rng, slowSpeed), 1)
			fast.Record(at, drawRatio(rng, fastSpeed), 1)
		}
		at := now.Add(time.Second)
		if slow.Slowdown(at, 1) > alikeFactor*fast.Slowdown(at, 1) {
			apart++
		}
	}
	t.Logf("%d of %d pairs told apart", apart, pairs)
	assert.Assert(t, apart >= pairs*98/100, "%d of %d", apart, pairs)
}

// TestSpeedHistories checks the estimate after histories of run time / estimate, 100 ms apart, and an idle
// time.
func TestSpeedHistories(t *testing.T) {
	repeat := func(n int, ratio float64) []float64 { return slices.Repeat([]float64{ratio}, n) }
	for _, tc := range []struct {
		name     string
		ratios   []float64
		idle     time.Duration
		usual    float64
		min, max float64
		known    bool
	}{
		{"nothing known is usual", nil, 0, 1.5, 1.5, 1.5, false},
		{"ten runs at 0.55", repeat(10, 1/slowSpeed), 0, 1, 1.55, 1.82, true},
		{"ten runs at 1.2", repeat(10, 1/fastSpeed), 0, 1, 0.83, 0.9, true},
		{"one long task on a sound endpoint", append(repeat(15, 1), longFactor), 0, 1, 1, 1.07, true},
		{"first task is long", []float64{longFactor}, 0, 1, 1, 1.4, false},
		{"becomes slow", append(repeat(50, 1/fastSpeed), repeat(15, 1/slowSpeed)...), 0, 1, 1.3, 1.82, true},
		{"idle for long", repeat(50, 1/slowSpeed), time.Minute, 1, 1, 1.1, false},
		{"idle for a moment", repeat(50, 1/slowSpeed), time.Second, 1, 1.6, 1.82, true},
		{"all estimates too low", repeat(10, 5), 0, 5, 4.99, 5.01, true},
		{"run time of 0", repeat(10, 0), 0, 1, 0.01, 0.5, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s Speed
			at := now
			for _, ratio := range tc.ratios {
				at = at.Add(100 * ms)
				s.Record(at, ratio, tc.usual)
			}
			at = at.Add(tc.idle)
			got := s.Slowdown(at, tc.usual)
			assert.Assert(t, got >= tc.min && got <= tc.max, "%g", got)
			assert.Equal(t, s.IsKnown(at), tc.known)
		})
	}
}

// TestRestoreSpeed guards against the loss of what the previous holder has learnt, and against reports
// that make no sense.
func TestRestoreSpeed(t *testing.T) {
	var s Speed
	for range 10 {
		s.Record(now, 1.8, 1)
	}
	slowdown, runs := s.Mean(now)
	restored := RestoreSpeed(now, slowdown, runs)
	assert.Assert(t, restored.Slowdown(now, 1) > 1.5 && restored.IsKnown(now))
	for _, wrong := range []float64{0, -1} {
		restored := RestoreSpeed(now, wrong, 10)
		assert.Equal(t, restored.Slowdown(now, 1), 1.0)
	}
	var h Health
	h.RestoreSpeed(now, restored)
	h.RestoreSpeed(now, RestoreSpeed(now, 9, 3))
	assert.Assert(t, h.Pace(now, 1) < 1.9, "fewer runs don't replace more")
	huge := RestoreSpeed(now, 2, 1<<60)
	huge.Record(now, 2, 1)
	_, runs = huge.Mean(now)
	assert.Equal(t, runs, maxSpeedRuns)
}

// TestLongTasksDoNotMakeEndpointSlow guards against an endpoint that counts as slow for a task that takes seven times
// as long, and against one that stands still or has become many times slower and goes unnoticed.
func TestLongTasksDoNotMakeEndpointSlow(t *testing.T) {
	for _, tc := range []struct {
		name    string
		known   bool
		ended   []float64
		running []float64
		isSlow  bool
	}{
		{"long task has ended", true, []float64{longFactor}, nil, false},
		{"long task runs", true, nil, []float64{longFactor, 0.5}, false},
		{"long task ends after a usual one", true, []float64{longFactor, 1, longFactor}, nil, false},
		{"second long run in a row", true, []float64{longFactor, longFactor}, nil, true},
		{"second long run after the first", true, []float64{longFactor}, []float64{longFactor}, true},
		{"all runs are 6.5 times slower", true, nil, []float64{6.5, 6.5}, true},
		{"all runs are four times slower", true, []float64{4}, []float64{4, 4}, true},
		{"a run stands still", true, nil, []float64{maxSlowdown}, true},
		{"a run stands still beside a long one", true, nil, []float64{longFactor, maxSlowdown}, true},
		{"nothing known, as before", false, nil, []float64{6.5}, true},
		{"nothing known, ended, as before", false, []float64{6.5}, nil, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var h Health
			record := func(ratio float64) { h.RecordSlowdown(now, h.RecordSpeed(now, ratio, 1, false)) }
			if tc.known {
				for range 10 {
					record(1)
				}
			}
			for _, ratio := range tc.ended {
				record(ratio)
			}
			var running, long []float64
			for _, slowdown := range tc.running {
				if h.IsLongTask(now, slowdown, 1) {
					long = append(long, slowdown)
				} else {
					running = append(running, slowdown)
				}
			}
			assert.Equal(t, IsSlow(h.EndpointSlowdown(running, long), 1), tc.isSlow)
		})
	}
}
