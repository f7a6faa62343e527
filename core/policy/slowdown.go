package policy

import (
	"slices"
	"time"
)

const (
	slowSmoothing = 0.3                    // weight of one run in the moving average of the slowdown
	fastSmoothing = 0.5                    // the same, of a run that is faster than the average
	slowdownLimit = 2.5                    // slowdown from which an endpoint counts as slow
	unusualFactor = 1.7                    // times the usual slowdown, which a slow endpoint exceeds as well
	maxSlowdown   = 10                     // relative to the usual one, up to which a run that stands still counts
	minStopGain   = 100 * time.Millisecond // that a restart elsewhere must save at least
)

// SlowdownOf returns how much longer than estimated a run took.
func SlowdownOf(took, estimate time.Duration) float64 {
	return float64(took) / float64(max(estimate, time.Millisecond))
}

// RunSlowdown returns how much longer than estimated a run takes that is expected to take at least a
// time, where usual is the UsualSlowdown.
func RunSlowdown(expected, estimate time.Duration, usual float64) float64 {
	return min(SlowdownOf(expected, estimate), maxSlowdown*usual)
}

// smoothSlowdown returns the moving average after one more run with the ratio of run time to
// estimate. An average of 0, which means not known, counts as 1.
func smoothSlowdown(average, ratio float64) float64 {
	switch {
	case average == 0:
		average = 1
	case ratio < average:
		return average + fastSmoothing*(ratio-average)
	}
	return average + slowSmoothing*(ratio-average)
}

// EndpointSlowdown returns the slowdown of an endpoint from the moving average of the runs that have
// ended and the slowdowns of those that have not. The latter count if they take longer than
// the average.
func EndpointSlowdown(average float64, running []float64) float64 {
	slices.Sort(running) // as the order matters
	for _, ratio := range running {
		if ratio > max(average, 1) {
			average = smoothSlowdown(average, ratio)
		}
	}
	return average
}

// UsualSlowdown returns the slowdown that is usual, from the medians of several entries: their median,
// but at least 1. Where all estimates are too low, no endpoint is slow for that.
func UsualSlowdown(medians []float64) float64 { return max(Median(medians), 1) }

// Median returns the median of some values, the lower one of two, or 0 if there are none. It sorts
// the values.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// IsSlow reports whether a slowdown is high, also in comparison with the usual one.
func IsSlow(slowdown, usual float64) bool {
	return slowdown >= max(slowdownLimit, unusualFactor*usual)
}

// Straggler is a run that takes longer than it should, on a slow endpoint.
type Straggler struct {
	Took     time.Duration
	Expected time.Duration // lower bound of the time that it takes in all
	Estimate time.Duration
	Endpoint float64 // slowdown of its endpoint
	Usual    float64 // slowdown that is usual
	LongTask bool    // it makes progress, and other runs beside it took no longer than usual
}

// ShouldRestart reports whether a straggler is to be stopped and started elsewhere: it is expected to
// end sooner there, or has taken more than twice the time from which a run counts as slow. A long task
// would take as long elsewhere, and is restarted only if it stands still.
func (s *Straggler) ShouldRestart() bool {
	slowdown := RunSlowdown(s.Expected, s.Estimate, s.Usual)
	if !IsSlow(slowdown, s.Usual) || s.LongTask && slowdown < maxSlowdown*s.Usual {
		return false
	}
	remaining := s.Expected - s.Took
	if remaining == 0 {
		remaining = time.Duration(s.Endpoint*float64(s.Estimate)) - s.Took
	}
	return remaining > s.Estimate+minStopGain || IsSlow(SlowdownOf(s.Took, s.Estimate)/2, s.Usual)
}
