package policy

import (
	"slices"

	"cornelwall"
)

const (
	// usualNeedRuns is the number of runs that the usual need goes back.
	usualNeedRuns = 31
	// smallRemainder is the share of the usual need up to which cores that are left over count as too few for any run.
	smallRemainder = 0.5
)

// UsualNeed is the moving median of the cores that waiting runs need. The zero value knows no run.
type UsualNeed struct {
	latest []int // ring buffer of the latest needs
	next   int   // index in latest that is replaced next, once it is full
	median int
}

// Record adds the need of a run.
func (u *UsualNeed) Record(need cornelwall.Resources) {
	if len(u.latest) < usualNeedRuns {
		u.latest = append(u.latest, need.Cores)
	} else {
		u.latest[u.next] = need.Cores
		u.next = (u.next + 1) % usualNeedRuns
	}
	sorted := slices.Sorted(slices.Values(u.latest))
	u.median = sorted[(len(sorted)-1)/2]
}

// Cores returns the usual need in thousandths of cores, or 0 if it is not known.
func (u *UsualNeed) Cores() int { return u.median }

// fitCost returns the cost of leaving cores over on an endpoint. Fewer cores cost less, but a rest that is just
// too small for a run of the usual need costs extra, as it would stay unused.
func fitCost(coresLeft, usualNeed int) int {
	if coresLeft < usualNeed && float64(coresLeft) >= smallRemainder*float64(usualNeed) {
		return coresLeft + usualNeed
	}
	return coresLeft
}
