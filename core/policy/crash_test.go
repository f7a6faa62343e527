package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSuspicion(t *testing.T) {
	shared, alone := Crash{Confirmed: true}, Crash{Alone: true, Confirmed: true}
	silent, silentAlone := Crash{}, Crash{Alone: true}
	for _, tc := range []struct {
		name    string
		crashes []Crash
		want    Suspicion
	}{
		{"no crash", nil, Unsuspected},
		{"one, beside others", []Crash{shared}, Suspected},
		{"one, alone", []Crash{alone}, Suspected},
		{"one that may be a cut", []Crash{silentAlone}, Suspected},
		{"two, beside others", []Crash{shared, shared}, Isolated},
		{"two, one alone", []Crash{shared, alone}, Withheld},
		{"two, one alone, one that may be a cut", []Crash{silent, alone}, OnHold},
		{"two, the one alone may be a cut", []Crash{shared, silentAlone}, OnHold},
		{"three, beside others", []Crash{shared, shared, shared}, Withheld},
		{"three, one may be a cut", []Crash{shared, shared, silent}, OnHold},
		{"three that may be cuts", []Crash{silent, silent, silent}, OnHold},
		{"three, two of them enough", []Crash{shared, silent, alone}, Withheld},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, SuspicionOf(tc.crashes), tc.want)
		})
	}
	assert.Equal(t, SuspicionOfCount(0), Unsuspected)
	assert.Equal(t, SuspicionOfCount(1), Suspected)
	assert.Equal(t, SuspicionOfCount(7), Isolated)
}
