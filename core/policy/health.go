package policy

import (
	"time"

	"cornelwall"
)

const (
	quarantineFailures = 3           // failed runs in a row after which an endpoint is quarantined
	minQuarantine      = time.Second // doubles with each further failure
	maxQuarantine      = 8 * time.Second
	fullBackoff        = 20 * time.Millisecond  // after an endpoint refused a run for lack of room
	unhealthyBackoff   = 150 * time.Millisecond // after it refused a run as unhealthy or invalid
	minSilenceBackoff  = 200 * time.Millisecond // after a start without an answer; doubles with each further one
	maxSilenceBackoff  = 2 * time.Second
	slowTryInterval    = time.Second // between two trial runs on a slow endpoint
)

// Health records how well an endpoint runs tasks. It works as a circuit breaker with exponential
// backoff, and tracks how much longer than estimated the runs take.
type Health struct {
	failures       int           // in a row
	pausedUntil    time.Time     // no run starts before
	quarantine     time.Duration // last backoff after failed runs
	probing        bool          // only one run at a time until one succeeds
	unanswered     int           // starts without an answer in a row
	silentUntil    time.Time     // no run starts before, as a start got no answer
	silenceBackoff time.Duration // last backoff after a start without an answer
	silent         bool          // only one run at a time until one succeeds, as a start got no answer
	slowdown       float64       // moving average of run time / estimate; 0 if not known
	slowdownAt     time.Time     // last update of slowdown
	speed          Speed         // see RecordSpeed
	lastWasLong    bool          // the last run that RecordSpeed recorded was long
}

// MayStart reports whether one more run may start beside the given number of runs.
func (h *Health) MayStart(now time.Time, runs int) bool {
	if now.Before(h.pausedUntil) || now.Before(h.silentUntil) {
		return false
	}
	return runs == 0 || !h.probing && !h.silent
}

// MayTrySlow reports whether a trial run may start on a slow endpoint, to measure its slowdown
// again.
func (h *Health) MayTrySlow(now time.Time, runs int) bool {
	return runs == 0 && now.Sub(h.slowdownAt) > slowTryInterval
}

// Slowdown returns the moving average of run time / estimate, or 0 if no run has ended yet.
func (h *Health) Slowdown() float64 { return h.slowdown }

// RecordSlowdown records the run time / estimate of a run.
func (h *Health) RecordSlowdown(now time.Time, ratio float64) {
	h.slowdown, h.slowdownAt = smoothSlowdown(h.slowdown, ratio), now
}

// RecordAnswer records that the endpoint has answered a start.
func (h *Health) RecordAnswer() {
	h.RecordContact()
	h.silenceBackoff, h.unanswered = 0, 0
}

// RecordSilence records a start that got no answer or no connection.
func (h *Health) RecordSilence(now time.Time) {
	h.silenceBackoff = min(max(2*h.silenceBackoff, minSilenceBackoff), maxSilenceBackoff)
	h.silentUntil, h.silent = now.Add(h.silenceBackoff), true
	h.unanswered++
}

// RecordContact records that the endpoint has answered an order other than a start. If a single
// start before it got no answer, only that order was lost, and the endpoint is used as before.
func (h *Health) RecordContact() {
	if h.unanswered == 1 {
		h.silentUntil, h.silent = time.Time{}, false
	}
}

// RecordRefusal records why the endpoint refused a start.
func (h *Health) RecordRefusal(now time.Time, why cornelwall.Refusal) {
	switch why {
	case cornelwall.RefusedRoom:
		h.pausedUntil = now.Add(fullBackoff)
	case cornelwall.RefusedUnhealthy, cornelwall.RefusedInvalid:
		h.pausedUntil = now.Add(unhealthyBackoff)
	case cornelwall.RefusedConnect:
		h.RecordSilence(now)
	}
}

// RecordEnd records how a run ended and its run time / estimate.
func (h *Health) RecordEnd(now time.Time, end cornelwall.RunEnd, slowdown float64) {
	switch end {
	case cornelwall.RunDone:
		h.failures, h.quarantine, h.probing, h.silent = 0, 0, false, false
		h.RecordSlowdown(now, slowdown)
	case cornelwall.RunFailed:
		h.failures++
		if h.failures >= quarantineFailures || h.probing {
			h.quarantine = min(max(2*h.quarantine, minQuarantine), maxQuarantine)
			h.pausedUntil, h.probing = now.Add(h.quarantine), true
		}
	}
}
