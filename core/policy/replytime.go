package policy

import "time"

const (
	minReplyTimeout      = 40 * time.Millisecond  // two ticks, as replies are checked once a tick
	maxReplyTimeout      = 200 * time.Millisecond // also before any reply was received
	replyTimeSmoothing   = 0.125                  // weight of one reply in the smoothed time of replies
	replySpreadSmoothing = 0.25                   // the same, in their smoothed deviation from it
	replySpreadFactor    = 4                      // smoothed deviations by which a reply may exceed the smoothed time
)

// ReplyTimes tracks how long endpoints take to reply, in the way that TCP tracks round trips to set
// its retransmission timeout.
type ReplyTimes struct {
	mean, deviation time.Duration
}

// Record adds the time that a reply took.
func (t *ReplyTimes) Record(took time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	difference := took - t.mean
	t.mean += time.Duration(replyTimeSmoothing * float64(difference))
	t.deviation += time.Duration(replySpreadSmoothing * float64(difference.Abs()-t.deviation))
}

// Timeout returns the time after which a reply is no longer expected.
func (t *ReplyTimes) Timeout() time.Duration {
	if t.mean == 0 {
		return maxReplyTimeout
	}
	return min(max(t.mean+replySpreadFactor*t.deviation, minReplyTimeout), maxReplyTimeout)
}
