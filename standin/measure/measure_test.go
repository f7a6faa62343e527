package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSameSeedSameFigures checks that two runs with the same seed give equal results.
func TestSameSeedSameFigures(t *testing.T) {
	site := Tokachi()
	c := Case{Name: "all", Load: 0.4, Bursts: true, Failing: true, Dead: true, Cancels: true, Partition: true}
	for _, policy := range Policies() {
		t.Run(policy.Name, func(t *testing.T) {
			first, second := Run(site, c, policy, 7), Run(site, c, policy, 7)
			assert.DeepEqual(t, first, second)
			assert.Equal(t, first.StartedTwice, 0)
			assert.Equal(t, first.Unanswered, 0)
		})
	}
}

func TestIdeal(t *testing.T) {
	for _, tc := range []struct {
		name  string
		jobs  []Arrival
		slots int
		want  []time.Duration
	}{
		{"idle", []Arrival{{At: 1, TaskTimes: []time.Duration{5, 7}}}, 2, []time.Duration{8}},
		{"queue", []Arrival{{At: 0, TaskTimes: []time.Duration{5, 5}}, {At: 1, TaskTimes: []time.Duration{2}}}, 1, []time.Duration{10, 12}},
		{"order of arrival", []Arrival{{At: 3, TaskTimes: []time.Duration{1}}, {At: 0, TaskTimes: []time.Duration{9}}}, 1, []time.Duration{10, 9}},
		{"cancelled", []Arrival{{At: 0, TaskTimes: []time.Duration{5, 5}, CancelAt: 2}, {At: 1, TaskTimes: []time.Duration{2}}}, 1, []time.Duration{5, 7}},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.DeepEqual(t, ideal(tc.jobs, tc.slots), tc.want) })
	}
}
