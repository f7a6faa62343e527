package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall/core/health"
)

const slots = 8

func TestFailingMachineIsCutOffAndRampsUp(t *testing.T) {
	now := time.Unix(1700000000, 0)
	h := health.New()
	limit := func() int { return h.Limit(now, "x", slots) }
	assert.Assert(t, !h.Failed(now, "x", 1))
	assert.Assert(t, !h.Failed(now, "x", 1))
	assert.Equal(t, limit(), slots)
	assert.Assert(t, h.Failed(now, "x", 1))
	assert.Equal(t, limit(), 0)
	assert.Assert(t, !h.Failed(now, "x", 5), "failures of tasks started before the cut are ignored")

	now = h.PausedUntil(now, "x")
	assert.Equal(t, limit(), 1)
	assert.Assert(t, h.Failed(now, "x", 1), "a failure while ramping up cuts off at once")
	assert.Equal(t, h.PausedUntil(now, "x").Sub(now), 2*time.Second)

	now = h.PausedUntil(now, "x")
	for _, want := range []int{1, 2, 4, slots} {
		assert.Equal(t, limit(), want)
		h.Done("x", want, 0)
	}
}

func TestSuccessClearsFailures(t *testing.T) {
	now := time.Unix(1700000000, 0)
	h := health.New()
	for range 10 {
		assert.Assert(t, !h.Failed(now, "x", 2))
		h.Done("x", 1, 0)
	}
}

func TestUnreachableMachineIsCutOffAtOnce(t *testing.T) {
	now := time.Unix(1700000000, 0)
	h := health.New()
	assert.Assert(t, h.ConnectFailed(now, "x"))
	assert.Equal(t, h.Limit(now, "x", slots), 0)
	assert.Equal(t, h.Limit(now, "y", slots), slots)
}

func TestBusyMachineBacksOff(t *testing.T) {
	now := time.Unix(1700000000, 0)
	h := health.New()
	previous := time.Duration(0)
	for range 4 {
		h.Busy(now, "x")
		pause := h.PausedUntil(now, "x").Sub(now)
		assert.Assert(t, pause > previous)
		previous, now = pause, now.Add(pause)
	}
	h.Done("x", 1, 0)
	h.Busy(now, "x")
	assert.Assert(t, h.PausedUntil(now, "x").Sub(now) < previous)
}

func TestSlowMachineGetsFewerTasks(t *testing.T) {
	now := time.Unix(1700000000, 0)
	h := health.New()
	h.Done("a", 100, 100*100)
	h.Done("b", 100, 110*100)
	h.Done("slow", 100, 400*100)
	h.UpdateMedian()
	assert.Equal(t, h.Limit(now, "a", slots), slots)
	assert.Equal(t, h.Limit(now, "slow", slots), 2)
}

func TestRepeatedFailureOfAJobIsNoMachineFault(t *testing.T) {
	f := health.NewFaultAttribution()
	assert.Assert(t, f.IsMachineFault(1, "a"))
	assert.Assert(t, !f.IsMachineFault(1, "a"))
	assert.Assert(t, !f.IsMachineFault(1, "b"))
	assert.Assert(t, f.IsMachineFault(2, "b"))
	f.Forget(1)
	f.Forget(2)
	assert.Equal(t, f.Len(), 0)
}

func TestFailingJobsDoNotCutOffMachines(t *testing.T) {
	now := time.Unix(1700000000, 0)
	h := health.New()
	names := []string{"a", "b", "c", "d"}
	cuts := 0
	for i := range 4000 { // two out of three tasks fail on every machine
		name := names[i%len(names)]
		if (i/len(names))%3 == 0 {
			h.Done(name, 1, 0)
		} else if h.Failed(now, name, 1) {
			cuts++
		}
	}
	assert.Equal(t, cuts, 0)
}
