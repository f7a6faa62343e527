package policy

import (
	"math"
	"slices"
	"time"
)

const (
	speedPriorRuns = 2                // runs at the usual slowdown that an estimate starts with
	maxSpeedRuns   = 15               // greatest weight of earlier runs, so that an estimate follows a change
	knownSpeedRuns = 5                // runs from which the slowdown of an endpoint counts as known
	speedHalfLife  = 10 * time.Second // time without a run in which the weight of earlier runs halves
	// speedClip bounds the factor by which one run may differ from the estimate. It is above the usual error of declared run
	// times, so that only long tasks are clipped.
	speedClip = 2.5
	// longTaskFactor is the factor by which a run must exceed the slowdown of its endpoint to count as long. It is above the usual
	// error of declared run times.
	longTaskFactor = 2.5
	alikeFactor    = 1.25 // up to which the slowdowns of two endpoints count as alike
	// inTimeMargin is the share of its run time that a run must have left at its due time to count as in
	// time, as slowdowns are estimates.
	inTimeMargin  = 0.1
	maxHundredths = 100 * 1000 // bounds a slowdown that is reported
)

// MaxPace returns the slowdown up to which a run that starts now is expected to end in time.
func MaxPace(now, due time.Time, estimate time.Duration) float64 {
	return float64(due.Sub(now)) / ((1 + inTimeMargin) * float64(max(estimate, time.Millisecond)))
}

// PaceHundredths returns a slowdown as entries report it.
func PaceHundredths(pace float64) int { return int(min(max(math.Round(100*pace), 1), maxHundredths)) }

// Speed estimates the slowdown of an endpoint as the logarithmic mean of run time / estimate of the runs that
// have ended there. Each run counts up to speedClip times more or less than the estimate so far, so that a
// single long task hardly changes it. Endpoints that stand still are found by Health.EndpointSlowdown
// instead. The zero value knows no run.
type Speed struct {
	mean float64   // of the logarithm of the slowdowns
	runs float64   // that it is based on, as of at
	at   time.Time // last record
}

// RestoreSpeed returns the estimate that another entry has reported: a slowdown and the number of runs that it is
// based on. A report without either is ignored.
func RestoreSpeed(now time.Time, slowdown float64, runs int) Speed {
	if slowdown <= 0 || runs <= 0 {
		return Speed{}
	}
	return Speed{mean: math.Log(min(slowdown, maxHundredths/100)), runs: float64(min(runs, maxSpeedRuns)), at: now}
}

// Record adds the run time / estimate of a run that has ended, where usual is the UsualSlowdown.
func (s *Speed) Record(now time.Time, ratio, usual float64) {
	runs := s.weight(now)
	estimate, clip := s.logSlowdown(now, usual), math.Log(speedClip)
	x := min(max(math.Log(max(ratio, math.SmallestNonzeroFloat64)), estimate-clip), estimate+clip)
	s.mean = (runs*s.mean + x) / (runs + 1)
	s.runs, s.at = min(runs+1, maxSpeedRuns), now
}

// Slowdown returns the estimate. Without recent runs it is near the usual slowdown.
func (s *Speed) Slowdown(now time.Time, usual float64) float64 {
	if s.runs == 0 {
		return usual
	}
	return math.Exp(s.logSlowdown(now, usual))
}

// Mean returns the logarithmic mean of the slowdowns and the number of runs that it is based on, for RestoreSpeed.
func (s *Speed) Mean(now time.Time) (slowdown float64, runs int) {
	return math.Exp(s.mean), int(s.weight(now))
}

// IsKnown reports whether the estimate is based on enough recent runs to tell a long task from a slow
// endpoint.
func (s *Speed) IsKnown(now time.Time) bool { return s.weight(now) >= knownSpeedRuns }

// logSlowdown returns the logarithm of the estimate.
func (s *Speed) logSlowdown(now time.Time, usual float64) float64 {
	runs := s.weight(now)
	return (runs*s.mean + speedPriorRuns*math.Log(usual)) / (runs + speedPriorRuns)
}

// weight returns the number of runs that the estimate is based on, less what has become outdated.
func (s *Speed) weight(now time.Time) float64 {
	if s.runs == 0 {
		return 0
	}
	return s.runs * math.Exp2(-float64(max(now.Sub(s.at), 0))/float64(speedHalfLife))
}

// Pace returns the slowdown that a run at the endpoint is expected to have.
func (h *Health) Pace(now time.Time, usual float64) float64 { return h.speed.Slowdown(now, usual) }

// Speed returns the estimate of the endpoint's slowdown.
func (h *Health) Speed() *Speed { return &h.speed }

// RestoreSpeed takes over the estimate of the previous holder of the endpoint if that is based on more recent
// runs than the one known here.
func (h *Health) RestoreSpeed(now time.Time, s Speed) {
	if s.weight(now) > h.speed.weight(now) {
		h.speed = s
	}
}

// IsLong reports whether a run time / estimate is far above what is known of the endpoint.
func (h *Health) IsLong(now time.Time, slowdown, usual float64) bool {
	return h.speed.IsKnown(now) && slowdown > longTaskFactor*h.speed.Slowdown(now, usual)
}

// RecordSpeed records the run time / estimate of a run that is done, and returns the value to pass to RecordEnd.
// For a long task that is the slowdown of the endpoint. A long run counts as a long task if longTask is
// set, or if the run before it was not long; two long runs in a row count as a slow endpoint.
func (h *Health) RecordSpeed(now time.Time, slowdown, usual float64, longTask bool) float64 {
	pace := h.speed.Slowdown(now, usual)
	if longTask {
		return pace
	}
	long, wasLong := h.IsLong(now, slowdown, usual), h.lastWasLong
	h.lastWasLong = long
	h.speed.Record(now, slowdown, usual)
	if long && !wasLong {
		return pace
	}
	return slowdown
}

// IsLongTask reports whether a run that has not ended may be a long task by its RunSlowdown: it takes long and does not stand
// still.
func (h *Health) IsLongTask(now time.Time, slowdown, usual float64) bool {
	return h.IsLong(now, slowdown, usual) && slowdown < maxSlowdown*usual
}

// EndpointSlowdown returns the slowdown of the endpoint, counting the slowdowns of runs there that have not ended.
// Long has those of runs that may be long tasks; like RecordSpeed it ignores the longest of them unless the last
// run was long. It sorts long.
func (h *Health) EndpointSlowdown(running, long []float64) float64 {
	slices.Sort(long)
	if !h.lastWasLong && len(long) > 0 {
		long = long[:len(long)-1]
	}
	return EndpointSlowdown(h.slowdown, append(running, long...))
}
