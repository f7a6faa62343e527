package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

var now = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func TestValue(t *testing.T) {
	base := Waiting{Remaining: 1, BatchSize: 1, Estimate: 100 * ms, Due: now.Add(200 * ms), UsefulUntil: now.Add(600 * ms)}
	for _, tc := range []struct {
		name   string
		change func(*Waiting)
		at     time.Duration
		want   float64
	}{
		{"in time", func(*Waiting) {}, 100 * ms, 1},
		{"late", func(*Waiting) {}, 101 * ms, 0.2},
		{"of no use", func(*Waiting) {}, 501 * ms, 0},
		{"half of the batch has started", func(w *Waiting) { w.Remaining = 0.5 }, 0, 2},
		{"lower class", func(w *Waiting) { w.Class = 2 }, 0, 1 / 1.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := base
			tc.change(&w)
			assert.Equal(t, w.Value(now.Add(tc.at)), tc.want)
		})
	}
}

func TestValueAmong(t *testing.T) {
	w := Waiting{Remaining: 1, BatchSize: 3, Estimate: 100 * ms, Due: now.Add(250 * ms), UsefulUntil: now.Add(time.Second)}
	for _, tc := range []struct {
		name  string
		here  int
		share float64
		want  float64
	}{
		{"all three here, two at a time", 3, 0.5, 1},
		{"all three here, one at a time", 3, 1, 0.2},
		{"the others elsewhere", 1, 1, 1},
		{"one of the others elsewhere", 2, 1, 0.2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, w.ValueAmong(now, tc.here, tc.share), tc.want)
		})
	}
}
