package policy

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

var loadTestTime = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// TestMovingRate plays 17 batches of 10 core seconds per second and a burst of twice as many. A rate that lagged by more than a second would
// miss most of a burst of 3 s; one that is not divided by the window would be wrong by a factor.
func TestMovingRate(t *testing.T) {
	var m MovingRate
	now := loadTestTime
	play := func(d time.Duration, perSecond int) float64 {
		gap := time.Second / time.Duration(perSecond)
		for end := now.Add(d); now.Before(end); now = now.Add(gap) {
			m.Add(now, 10)
		}
		return m.At(now)
	}
	steady, burst := play(5*time.Second, 17), play(time.Second, 34)
	assert.Assert(t, math.Abs(steady-170) < 20, "%v", steady)
	assert.Assert(t, burst > 290 && burst < 360, "%v", burst)
	assert.Assert(t, m.At(now.Add(2*time.Second)) < burst/10)
	assert.Equal(t, new(MovingRate).At(now), 0.0)
}

// TestLoadSums checks that of two sums over one data centre the fuller and then the younger one is taken, and that
// the age of a sum is that of its oldest report: a digest must not look younger than what it counts.
func TestLoadSums(t *testing.T) {
	sum := func(entries int, age time.Duration) *LoadSum {
		return &LoadSum{Capacity: float64(entries), Entries: entries, ReportedAt: loadTestTime.Add(-age)}
	}
	assert.Assert(t, sum(3, time.Second).Better(sum(2, 0)))
	assert.Assert(t, sum(3, 0).Better(sum(3, time.Second)))
	assert.Assert(t, !sum(3, time.Second).Better(sum(3, time.Second)))
	all := *sum(3, 0)
	all.Add(sum(4, 700*time.Millisecond))
	all.Add(&LoadSum{}) // a data centre that nothing is known of
	assert.DeepEqual(t, all, *sum(7, 700*time.Millisecond))
	assert.Assert(t, !all.IsFresh(loadTestTime.Add(time.Second/2), MaxLoadAge))
	f := cornelwall.CentreFigures{ServiceFigures: cornelwall.ServiceFigures{Demand: []int{0, 1500}, Capacity: 2000}, Entries: 4, Age: MaxLoadAge}
	d := NewDigest(&f, loadTestTime)
	assert.Assert(t, !d.IsFresh(loadTestTime, MaxLoadAge), "a digest does not get older on its way")
	assert.DeepEqual(t, d.Figures(""), f.ServiceFigures)
}

// TestLoadBounds checks that implausible figures are found and reduced, so that a faulty entry cannot
// make all others refuse everything.
func TestLoadBounds(t *testing.T) {
	bound := EntryBound(0.1, 0.02, 1000, 5000) // 200 cores by weight
	for _, s := range []LoadSum{{Entries: 1, Capacity: 1e9}, {Entries: 1, Demand: ClassDemand{1e9, -1e9}}, {Entries: 1, Capacity: -5}, {Entries: 2}} {
		assert.Assert(t, s.Exceeds(bound), "%+v", s)
		s.Limit(bound)
		assert.Assert(t, s.Capacity >= 0 && s.Capacity <= 800 && s.Demand.Total() <= 3200 && s.Demand[1] >= 0, "%+v", s)
	}
	plausible := LoadSum{Entries: 1, Capacity: 300, Demand: ClassDemand{500, 200}}
	assert.Assert(t, !plausible.Exceeds(bound))
	assert.Assert(t, plausible.Exceeds(LoadBound{}), "without a list of endpoints nothing is plausible")
}
