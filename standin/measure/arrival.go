package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cornelwall"
)

const (
	warmUp           = 5 * time.Second  // jobs that arrive earlier are left out of the figures
	arrivalPeriod    = 40 * time.Second // in which jobs arrive
	teams            = 25
	maxJobTasks      = 300
	minTaskTime      = 50 * time.Millisecond
	maxTaskTime      = 8 * time.Second
	medianTaskTime   = 200 * time.Millisecond
	jobSigma         = 0.7              // standard deviation of the logarithm of a job's base task time
	taskSigma        = 0.25             // the same of the task times within a job
	stragglerShare   = 0.005            // of all tasks
	stragglerFactor  = 6.0              // on the task time of a straggler
	maxEstimateError = 10.0             // factor by which declared run times are off at most, either way
	deadline         = 10 * time.Second // of urgent and normal profiles
	batchDeadline    = 40 * time.Second // of batch profiles
	burstInterval    = 5 * time.Second
	burstShare       = 0.4 // share of the work that arrives in bursts
)

// Arrival is one job of the simulated load.
type Arrival struct {
	At        time.Duration
	Entry     int
	Profile   string
	TaskTimes []time.Duration // actual run times
	Estimates []time.Duration // declared run times
	CancelAt  time.Duration   // time of its cancellation; 0 is never
}

// TotalTime returns the sum of the run times.
func (a *Arrival) TotalTime() time.Duration {
	var sum time.Duration
	for _, d := range a.TaskTimes {
		sum += d
	}
	return sum
}

// LongestTask returns the run time of the longest task.
func (a *Arrival) LongestTask() time.Duration {
	var top time.Duration
	for _, d := range a.TaskTimes {
		top = max(top, d)
	}
	return top
}

// profiles returns one profile per team: most are normal, a few urgent or batch.
func profiles() []cornelwall.Profile {
	var ps []cornelwall.Profile
	for i := range teams {
		p := cornelwall.Profile{Name: fmt.Sprintf("profile-%d", i), Team: fmt.Sprintf("team-%d", i), Class: cornelwall.Normal,
			Deadline: cornelwall.Duration(deadline), Quota: 1 + i%4, Queue: 100000, Version: 1}
		switch {
		case i%10 == 3:
			p.Class = cornelwall.Urgent
		case i%10 == 7:
			p.Class = cornelwall.Batch
			p.Deadline = cornelwall.Duration(batchDeadline)
		}
		p.Normalise()
		ps = append(ps, p)
	}
	return ps
}

// arrivals draws jobs at random, at the rate at which their work makes up the load of the case.
func arrivals(s *Site, c *Case, slots int, seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	const sample = 20000
	var mean time.Duration // work per job
	for range sample {
		a := drawJob(r)
		mean += a.TotalTime() / sample
	}
	rate := c.Load * float64(slots) / mean.Seconds() // jobs per second
	var out []Arrival
	at := 0.0
	for {
		steady := rate
		if c.Bursts {
			steady *= 1 - burstShare
		}
		at += r.ExpFloat64() / steady
		if at >= arrivalPeriod.Seconds() {
			break
		}
		out = append(out, placeJob(r, s, time.Duration(at*float64(time.Second))))
	}
	if c.Bursts {
		for t := burstInterval; t < arrivalPeriod; t += burstInterval {
			for range int(rate * burstShare * burstInterval.Seconds()) {
				out = append(out, placeJob(r, s, t+time.Duration(r.Int64N(int64(100*time.Millisecond)))))
			}
		}
	}
	if c.Cancels {
		cancelWave(r, out)
	}
	return out
}

// cancelWave cancels about a third of the jobs that arrived in the 2 seconds before the wave,
// the last burst among them.
func cancelWave(r *rand.Rand, as []Arrival) {
	at := arrivalPeriod/2 + 300*time.Millisecond
	for i := range as {
		if as[i].At < at && as[i].At > at-2*time.Second && r.IntN(3) == 0 {
			as[i].CancelAt = at + time.Duration(r.Int64N(int64(20*time.Millisecond)))
		}
	}
}

// placeJob draws a job that arrives at the given time, with a random entry and profile.
func placeJob(r *rand.Rand, s *Site, at time.Duration) Arrival {
	a := drawJob(r)
	a.At = at
	a.Entry = r.IntN(s.Entries)
	a.Profile = fmt.Sprintf("profile-%d", r.IntN(teams))
	return a
}

// drawJob draws the tasks of a job. The number of tasks is log-uniform; the task times are
// log-normal with a few stragglers, so that they have a heavy tail.
func drawJob(r *rand.Rand) Arrival {
	n := int(math.Exp(r.Float64() * math.Log(maxJobTasks)))
	base := float64(medianTaskTime) * math.Exp(jobSigma*r.NormFloat64())
	errorFactor := math.Pow(maxEstimateError, 2*r.Float64()-1)
	var a Arrival
	for range n {
		d := base * math.Exp(taskSigma*r.NormFloat64())
		if r.Float64() < stragglerShare {
			d *= stragglerFactor
		}
		took := min(max(time.Duration(d), minTaskTime), maxTaskTime)
		a.TaskTimes = append(a.TaskTimes, took)
		a.Estimates = append(a.Estimates, time.Duration(float64(took)*errorFactor))
	}
	return a
}
