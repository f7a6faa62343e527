package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEndpointSlowdown(t *testing.T) {
	for _, tc := range []struct {
		name    string
		average float64
		running []float64
		isSlow  bool
	}{
		{"not known", 0, nil, false},
		{"one run was underestimated", 1, []float64{3}, false},
		{"one run stands still", 1, []float64{10}, true},
		{"several runs take four times as long", 1, []float64{4, 4, 4}, true},
		{"runs that have just started", 4, []float64{0.1, 0.2}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, IsSlow(EndpointSlowdown(tc.average, tc.running), 1), tc.isSlow)
		})
	}
}

// TestAllEstimatesTooLow checks that no endpoint counts as slow where all tasks take five times as long
// as estimated, but one that is slow besides still does.
func TestAllEstimatesTooLow(t *testing.T) {
	usual := UsualSlowdown([]float64{5.2, 4.8, 20})
	assert.Equal(t, usual, 5.2)
	assert.Assert(t, !IsSlow(5, usual))
	assert.Assert(t, IsSlow(20, usual))
	assert.Equal(t, UsualSlowdown(nil), 1.0)
	assert.Equal(t, UsualSlowdown([]float64{0.7, 0.8}), 1.0)
}

func TestShouldRestart(t *testing.T) {
	for _, tc := range []struct {
		name string
		s    Straggler
		want bool
	}{
		{"soon done", Straggler{Took: 300 * ms, Expected: 350 * ms, Estimate: 100 * ms}, false},
		{"a long way to go", Straggler{Took: 60 * ms, Expected: 400 * ms, Estimate: 100 * ms}, true},
		{"not slow itself", Straggler{Took: 60 * ms, Expected: 200 * ms, Estimate: 100 * ms}, false},
		{"no progress known, as slow as its endpoint", Straggler{Took: 260 * ms, Expected: 260 * ms, Estimate: 100 * ms}, false},
		{"no progress known, far longer", Straggler{Took: 510 * ms, Expected: 510 * ms, Estimate: 100 * ms}, true},
		{"long task", Straggler{Took: 60 * ms, Expected: 700 * ms, Estimate: 100 * ms, LongTask: true}, false},
		{"long task that stands still", Straggler{Took: 60 * ms, Expected: 2 * time.Second, Estimate: 100 * ms, LongTask: true}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.s.Endpoint, tc.s.Usual = 4, 1
			assert.Equal(t, tc.s.ShouldRestart(), tc.want)
		})
	}
}

func TestReplyTimeout(t *testing.T) {
	var r ReplyTimes
	assert.Equal(t, r.Timeout(), maxReplyTimeout)
	for range 50 {
		r.Record(3 * ms)
	}
	assert.Equal(t, r.Timeout(), minReplyTimeout)
	for range 50 {
		r.Record(60 * ms)
		r.Record(80 * ms)
	}
	assert.Assert(t, r.Timeout() > 90*ms && r.Timeout() < maxReplyTimeout, "%s", r.Timeout())
	r.Record(time.Minute)
	assert.Equal(t, r.Timeout(), maxReplyTimeout)
}
