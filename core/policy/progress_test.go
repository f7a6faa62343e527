package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRemainingTime(t *testing.T) {
	type report struct {
		at    time.Duration
		share float64
	}
	for _, tc := range []struct {
		name     string
		reports  []report
		want     time.Duration // of the run that remains at its last report
		atLeast  time.Duration // that must be returned
		notKnown bool
	}{
		{"started", []report{{0, 0}}, 100 * time.Millisecond, 0, true},
		{"too short", []report{{0, 0}, {15 * time.Millisecond, 0.15}}, 85 * time.Millisecond, 0, true},
		{"halfway", []report{{0, 0}, {50 * time.Millisecond, 0.5}}, 50 * time.Millisecond, 45 * time.Millisecond, false},
		{"slow", []report{{0, 0}, {50 * time.Millisecond, 0.1}}, 450 * time.Millisecond, 400 * time.Millisecond, false},
		{"no progress yet", []report{{0, 0}, {30 * time.Millisecond, 0}}, time.Hour, 2 * time.Second, false},
		{"stands still after half", []report{{0, 0}, {50 * time.Millisecond, 0.5}, {100 * time.Millisecond, 0.5}}, time.Hour, 2 * time.Second, false},
		{"frequent reports", []report{{0, 0}, {50 * time.Millisecond, 0.5}, {60 * time.Millisecond, 0.5}, {70 * time.Millisecond, 0.5}, {80 * time.Millisecond, 0.5}, {90 * time.Millisecond, 0.5}, {100 * time.Millisecond, 0.5}},
			time.Hour, time.Second, false},
		{"out of order", []report{{0, 0}, {50 * time.Millisecond, 0.5}, {40 * time.Millisecond, 0.4}}, 50 * time.Millisecond, 45 * time.Millisecond, false},
		{"seen first when it ran", []report{{time.Second, 0.4}, {1050 * time.Millisecond, 0.9}}, 10 * time.Millisecond, 8 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p Progress
			for _, r := range tc.reports {
				p.Record(time.Time{}, r.share, r.at)
			}
			assert.Equal(t, p.SpeedKnown(), !tc.notKnown)
			if tc.notKnown {
				return
			}
			got := p.remaining()
			assert.Assert(t, got >= tc.atLeast && got <= tc.want, "%s", got)
		})
	}
}

// TestIsOnCourse guards against a run that counts as a long task although nothing is heard of it any more.
func TestIsOnCourse(t *testing.T) {
	var p Progress
	p.Record(now, 0, 0)
	assert.Assert(t, !p.IsOnCourse(now), "speed not known")
	p.Record(now.Add(40*ms), 0.1, 40*ms)
	assert.Assert(t, p.IsOnCourse(now.Add(400*ms)))
	assert.Assert(t, !p.IsOnCourse(now.Add(700*ms)))
}
