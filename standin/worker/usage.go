package worker

import (
	"time"

	"cornelwall"
)

// usage is the resource usage of the tasks, with the older samples that a lagging report needs.
type usage struct {
	samples []sample
}

// sample is the usage from a time on.
type sample struct {
	at   time.Time
	used cornelwall.Need
}

// current returns the current usage.
func (u *usage) current() cornelwall.Need {
	if len(u.samples) == 0 {
		return cornelwall.Need{}
	}
	return u.samples[len(u.samples)-1].used
}

// at returns the usage at a time.
func (u *usage) at(t time.Time) cornelwall.Need {
	for i := len(u.samples) - 1; i >= 0; i-- {
		if !u.samples[i].at.After(t) {
			return u.samples[i].used
		}
	}
	return cornelwall.Need{}
}

// add adds n to the usage and drops the samples that are older than the lag.
func (u *usage) add(now time.Time, n cornelwall.Need, lag time.Duration) {
	used := subtract(u.current(), subtract(cornelwall.Need{}, n))
	u.samples = append(u.samples, sample{now, used})
	for len(u.samples) > 1 && !u.samples[1].at.After(now.Add(-lag)) {
		u.samples = u.samples[1:]
	}
}

func subtract(a, b cornelwall.Need) cornelwall.Need {
	return cornelwall.Need{
		Cores:        a.Cores - b.Cores,
		Memory:       a.Memory - b.Memory,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}
