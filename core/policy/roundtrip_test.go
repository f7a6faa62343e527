package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUsualRoundTrip(t *testing.T) {
	for _, x := range []struct {
		name    string
		bounds  []time.Duration
		samples []time.Duration
		usual   time.Duration
	}{
		{"nothing is known", nil, nil, 0},
		{"one round trip", nil, []time.Duration{60 * ms}, 60 * ms},
		{"bounds only", []time.Duration{170 * ms, 64 * ms, 120 * ms}, nil, 64 * ms},
		{"the first message stalls", []time.Duration{64 * ms}, []time.Duration{time.Second}, 64 * ms},
		{"the second message stalls", nil, []time.Duration{60 * ms, time.Second}, 60 * ms},
		{"a later message stalls", nil, []time.Duration{60 * ms, 61 * ms, 62 * ms, time.Second, 59 * ms}, 62 * ms},
		{"the way has become longer", []time.Duration{3 * ms}, []time.Duration{2 * ms, 2 * ms, 2 * ms, 140 * ms, 141 * ms}, 140 * ms},
		{"the way has become shorter", nil, []time.Duration{90 * ms, 90 * ms, 2 * ms, 2 * ms, 2 * ms, 2 * ms, 2 * ms, 2 * ms, 2 * ms}, 2 * ms},
	} {
		t.Run(x.name, func(t *testing.T) {
			var r RoundTrips
			for _, b := range x.bounds {
				r.RecordBound(b)
			}
			for _, took := range x.samples {
				r.Record(took)
			}
			assert.Equal(t, r.Usual(), x.usual)
		})
	}
}
