// Package admit tells how long tasks take, by how long they have taken, and whether a
// job can end before its deadline.
//
// # Usage
//
//	e := admit.NewEstimates()
//	e.Observe("holds", 80*time.Millisecond)
//	each := e.Task("holds", declared)
//	end := admit.Wait(q.Ahead(lot), slots, each)
package admit

import (
	"math"
	"time"
)

const (
	minWeight       = 0.01                   // share of one task in a mean that has many
	defaultRunTime  = 300 * time.Millisecond // run time of a task of which nothing is known
	maxProfiles     = 10000                  // profiles remembered
	lastTaskStdDevs = 2                      // standard deviations that the last task may take longer
)

// weightedMean is a mean and a variance in which new values weigh more.
type weightedMean struct {
	n        int
	value    float64 // seconds
	variance float64
}

func (m *weightedMean) add(v float64) {
	m.n++
	share := max(minWeight, 1/float64(m.n))
	diff := v - m.value
	m.value += share * diff
	m.variance = (1 - share) * (m.variance + share*diff*diff)
}

// Estimates holds the run times observed at one entry.
type Estimates struct {
	profiles map[string]*weightedMean
	overall  weightedMean
}

// NewEstimates returns estimates without observations.
func NewEstimates() *Estimates { return &Estimates{profiles: map[string]*weightedMean{}} }

// Observe records the run time of a task that ended.
func (e *Estimates) Observe(profile string, took time.Duration) {
	m := e.profiles[profile]
	if m == nil {
		if len(e.profiles) >= maxProfiles {
			clear(e.profiles)
		}
		m = &weightedMean{}
		e.profiles[profile] = m
	}
	m.add(took.Seconds())
	e.overall.add(took.Seconds())
}

// Task returns the expected run time of a task of the profile. What the caller
// declares counts only until any task was observed; 0 is not declared.
func (e *Estimates) Task(profile string, declared time.Duration) time.Duration {
	if m := e.profiles[profile]; m != nil {
		return seconds(m.value)
	}
	if e.overall.n == 0 && declared > 0 {
		return declared
	}
	return e.Overall()
}

// LastTask returns how long the last task of a job is expected to take.
func (e *Estimates) LastTask(profile string, declared time.Duration) time.Duration {
	if m := e.profiles[profile]; m != nil {
		return seconds(m.value + lastTaskStdDevs*math.Sqrt(m.variance))
	}
	return e.Task(profile, declared)
}

// HasObservations reports whether any task was observed.
func (e *Estimates) HasObservations() bool { return e.overall.n > 0 }

// Overall returns the expected run time of a task of which nothing is known.
func (e *Estimates) Overall() time.Duration {
	if e.overall.n == 0 {
		return defaultRunTime
	}
	return seconds(e.overall.value)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// DrainTime returns how long slots take for so much slot time.
func DrainTime(work time.Duration, slots int) time.Duration {
	return work / time.Duration(max(1, slots))
}
