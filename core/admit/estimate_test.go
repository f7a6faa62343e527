package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall/core/admit"
)

func TestObservedTakesPrecedenceOverDeclared(t *testing.T) {
	e := admit.NewEstimates()
	assert.Equal(t, e.RunTime("holds", 5*time.Second), 5*time.Second)
	for range 10 {
		e.Observe("holds", 100*time.Millisecond)
	}
	assert.Equal(t, e.RunTime("holds", 5*time.Second).Round(time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, e.RunTime("rosters", 0).Round(time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, e.LastTaskRunTime("holds", 0).Round(time.Millisecond), 100*time.Millisecond)
}

func TestLastTaskTakesLonger(t *testing.T) {
	e := admit.NewEstimates()
	for range 100 {
		e.Observe("holds", 100*time.Millisecond)
		e.Observe("holds", 300*time.Millisecond)
	}
	assert.Equal(t, e.RunTime("holds", 0).Round(10*time.Millisecond), 200*time.Millisecond)
	assert.Equal(t, e.LastTaskRunTime("holds", 0).Round(10*time.Millisecond), 400*time.Millisecond)
}

func TestDrainTime(t *testing.T) {
	assert.Equal(t, admit.DrainTime(10*time.Second, 5), 2*time.Second)
	assert.Equal(t, admit.DrainTime(10*time.Second, 0), 10*time.Second)
}
