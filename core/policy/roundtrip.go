package policy

import (
	"slices"
	"time"
)

const roundTripSamples = 8 // latest round trips that are kept

// RoundTrips tracks how long another entry takes to answer. Of the latest round trips the greatest is left out, so that one message
// that stalls changes nothing.
type RoundTrips struct {
	samples [roundTripSamples]time.Duration
	count   int           // of round trips that were recorded
	bound   time.Duration // least upper bound of a round trip; 0 if none was recorded
}

// Record adds a round trip.
func (r *RoundTrips) Record(took time.Duration) {
	r.samples[r.count%roundTripSamples] = took
	r.count++
}

// RecordBound adds a time that was longer than a round trip, as the answer may have waited at the other entry.
func (r *RoundTrips) RecordBound(took time.Duration) {
	if r.bound == 0 || took < r.bound {
		r.bound = took
	}
}

// Usual returns the time within which all of the latest round trips but one have ended. While there is one at most, the least bound
// counts too. It is 0 if nothing was recorded.
func (r *RoundTrips) Usual() time.Duration {
	known := slices.Clone(r.samples[:min(r.count, roundTripSamples)])
	if len(known) < 2 && r.bound > 0 {
		known = append(known, r.bound)
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[max(len(known)-2, 0)]
}
