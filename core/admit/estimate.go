// Package admit estimates run times of tasks and queue waits of jobs from past ones, for the
// decision whether a job can end before its deadline.
//
// # Usage
//
//	e := admit.NewEstimates()
//	e.Observe("holds", 80*time.Millisecond)
//	each := e.Task("holds", declared)
//	wait := admit.DrainTime(10*each, slots) // of ten tasks
package admit

import (
	"math"
	"time"
)

const (
	minWeight       = 0.01                   // weight of the newest task in a mean of many
	defaultRunTime  = 300 * time.Millisecond // assumed until a task was observed
	maxProfiles     = 10000                  // profiles with estimates
	lastTaskStdDevs = 2                      // standard deviations added for the last task of a job
)

// weightedMean is a mean and variance. The first 1/minWeight values weigh the same; after that it is
// an exponentially weighted moving average.
type weightedMean struct {
	n        int
	value    float64 // seconds
	variance float64
}

func (m *weightedMean) add(v float64) {
	m.n++
	weight := max(minWeight, 1/float64(m.n))
	diff := v - m.value
	m.value += weight * diff
	m.variance = (1 - weight) * (m.variance + weight*diff*diff)
}

// Estimates holds the run times observed at one entry.
type Estimates struct {
	profiles map[string]*weightedMean
	overall  weightedMean
}

// NewEstimates returns estimates without observations.
func NewEstimates() *Estimates { return &Estimates{profiles: map[string]*weightedMean{}} }

// Observe records the run time of a completed task.
func (e *Estimates) Observe(profile string, runTime time.Duration) {
	m := e.profiles[profile]
	if m == nil {
		if len(e.profiles) >= maxProfiles {
			clear(e.profiles)
		}
		m = &weightedMean{}
		e.profiles[profile] = m
	}
	m.add(runTime.Seconds())
	e.overall.add(runTime.Seconds())
}

// RunTime returns the expected run time of a task of the profile. The estimate that the caller
// declared (0 if none) is used only until a task of any profile was observed.
func (e *Estimates) RunTime(profile string, declared time.Duration) time.Duration {
	if m := e.profiles[profile]; m != nil {
		return seconds(m.value)
	}
	if e.overall.n == 0 && declared > 0 {
		return declared
	}
	return e.Overall()
}

// LastTaskRunTime returns the expected run time of the task of a job that ends last.
func (e *Estimates) LastTaskRunTime(profile string, declared time.Duration) time.Duration {
	if m := e.profiles[profile]; m != nil {
		return seconds(m.value + lastTaskStdDevs*math.Sqrt(m.variance))
	}
	return e.RunTime(profile, declared)
}

// HasObservations reports whether a task of any profile was observed.
func (e *Estimates) HasObservations() bool { return e.overall.n > 0 }

// Overall returns the expected run time of a task of unknown profile.
func (e *Estimates) Overall() time.Duration {
	if e.overall.n == 0 {
		return defaultRunTime
	}
	return seconds(e.overall.value)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// DrainTime returns how long the slots take to process the work, which is given as slot time.
func DrainTime(work time.Duration, slots int) time.Duration {
	return work / time.Duration(max(1, slots))
}
