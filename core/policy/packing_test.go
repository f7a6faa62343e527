package policy

import (
	"testing"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestPacking checks which endpoint gets a run, where runs need 8 cores, plus or minus a fifth. It guards against
// remainders that are just too small for another run.
func TestPacking(t *testing.T) {
	for _, tc := range []struct {
		name      string
		usualNeed int
		left      [2]int // cores left on two endpoints
		want      int
	}{
		{"best fit if no need is known", 0, [2]int{7000, 8500}, 0},
		{"room for one more rather than for nearly one", 8000, [2]int{7000, 8500}, 1},
		{"too little for any rather than for nearly one", 8000, [2]int{7000, 1000}, 1},
		{"too little for any rather than room for one more", 8000, [2]int{8500, 1000}, 1},
		{"nearly one rather than an empty large endpoint", 8000, [2]int{7000, 17000}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c EndpointChoice
			c.Reset(now, &Waiting{Estimate: 100 * ms, Due: now.Add(300 * ms)}, true, tc.usualNeed)
			for i, left := range tc.left {
				c.Add(i, &EndpointOption{CoresLeft: left, Pace: 1})
			}
			assert.Equal(t, c.Best(), tc.want)
		})
	}
}

// TestUsualNeed guards against a need that a few large or small runs move, or that does not follow a change.
func TestUsualNeed(t *testing.T) {
	var u UsualNeed
	assert.Equal(t, u.Cores(), 0)
	record := func(n, cores int) {
		for range n {
			u.Record(cornelwall.Resources{Cores: cores})
		}
	}
	record(20, 8000)
	record(10, 500)
	assert.Equal(t, u.Cores(), 8000)
	record(usualNeedRuns, 4000)
	assert.Equal(t, u.Cores(), 4000)
}
