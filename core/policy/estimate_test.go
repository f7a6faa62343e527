package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStepEstimate(t *testing.T) {
	for _, tc := range []struct {
		name string
		took []time.Duration
		want time.Duration
	}{
		{"as declared", []time.Duration{110 * ms, 90 * ms, 120 * ms}, 100 * ms},
		{"longer", []time.Duration{300 * ms}, 300 * ms},
		{"one of three is slow", []time.Duration{110 * ms, 900 * ms, 100 * ms}, 100 * ms},
		{"most are longer", []time.Duration{110 * ms, 300 * ms, 280 * ms}, 280 * ms},
		{"shorter ones may only have ended first", []time.Duration{10 * ms, 11 * ms}, 100 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := StepEstimate{Current: 100 * ms}
			for _, took := range tc.took {
				e.Observe(took)
			}
			assert.Equal(t, e.Current, tc.want)
		})
	}
}
