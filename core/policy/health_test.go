package policy

import (
	"testing"

	"gotest.tools/v3/assert"

	"cornelwall"
)

func TestFailingEndpointIsQuarantined(t *testing.T) {
	var h Health
	for range quarantineFailures {
		assert.Assert(t, h.MayStart(now, 5))
		h.RecordEnd(now, cornelwall.RunFailed, 0)
	}
	assert.Assert(t, !h.MayStart(now.Add(minQuarantine-ms), 0))
	at := now.Add(minQuarantine)
	assert.Assert(t, h.MayStart(at, 0) && !h.MayStart(at, 1), "one trial run at a time")
	h.RecordEnd(at, cornelwall.RunFailed, 0)
	assert.Assert(t, !h.MayStart(at.Add(2*minQuarantine-ms), 0), "the quarantine doubles")
	h.RecordEnd(at, cornelwall.RunDone, 1)
	assert.Assert(t, h.MayStart(at.Add(2*minQuarantine), 5))
}

// TestLostOrderDoesNotPauseEndpoint loses the answer to a start. The endpoint is paused until it answers
// another order, but not if the next start gets no answer either.
func TestLostOrderDoesNotPauseEndpoint(t *testing.T) {
	var h Health
	h.RecordSilence(now)
	assert.Assert(t, !h.MayStart(now, 0))
	h.RecordContact()
	assert.Assert(t, h.MayStart(now, 5))

	h.RecordSilence(now)
	h.RecordContact()
	assert.Assert(t, !h.MayStart(now.Add(2*minSilenceBackoff-ms), 0), "it answers no starts")
	at := now.Add(2 * minSilenceBackoff)
	assert.Assert(t, h.MayStart(at, 0) && !h.MayStart(at, 1), "one trial run at a time")
	h.RecordAnswer()
	h.RecordEnd(at, cornelwall.RunDone, 1)
	assert.Assert(t, h.MayStart(at, 5))
}

// TestContactKeepsOtherPauses checks that an answer to a poll ends neither a quarantine nor the pause
// after a refusal.
func TestContactKeepsOtherPauses(t *testing.T) {
	var h Health
	h.RecordSilence(now)
	h.RecordRefusal(now, cornelwall.RefusedUnhealthy)
	h.RecordContact()
	assert.Assert(t, !h.MayStart(now.Add(unhealthyBackoff-ms), 0))
	assert.Assert(t, h.MayStart(now.Add(unhealthyBackoff), 5))
}
