package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cornelwall"
)

const (
	warmUp     = 5 * time.Second  // arrivals before it are not reported
	arriving   = 40 * time.Second // length of the arrivals
	teams      = 25
	maxJob     = 300 // tasks
	shortest   = 50 * time.Millisecond
	longest    = 8 * time.Second
	medianTask = 200 * time.Millisecond
	spreadJob  = 0.7  // of the logarithm of a job's task time
	spreadTask = 0.25 // of the logarithm of the task times in a job
	straggling = 0.005
	stragglerX = 6.0
	wrongBy    = 10.0             // declared sizes of a job, both ways
	deadline   = 10 * time.Second // of urgent and normal profiles
	batchLimit = 40 * time.Second // deadline of batch profiles
	burstEvery = 5 * time.Second
	burstShare = 0.4 // of the work that arrives in bursts
)

// Arrival is one job of a run.
type Arrival struct {
	At      time.Duration
	Entry   int
	Profile string
	Tasks   []time.Duration // run times
	Sizes   []time.Duration // declared
	Cancel  time.Duration   // when it is cancelled; 0 is never
}

// Work returns the sum of the run times.
func (a *Arrival) Work() time.Duration {
	var sum time.Duration
	for _, d := range a.Tasks {
		sum += d
	}
	return sum
}

// Longest returns the run time of the longest task.
func (a *Arrival) Longest() time.Duration {
	var top time.Duration
	for _, d := range a.Tasks {
		top = max(top, d)
	}
	return top
}

// profiles returns the profiles in force: most teams are normal, a few urgent or batch.
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
			p.Deadline = cornelwall.Duration(batchLimit)
		}
		p.Normalise()
		ps = append(ps, p)
	}
	return ps
}

// arrivals draws jobs until their work fills the load of the slots.
func arrivals(s *Site, c *Case, slots int, seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	const sample = 20000
	var mean time.Duration // work of a job
	for range sample {
		a := draw(r)
		mean += a.Work() / sample
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
		if at >= arriving.Seconds() {
			break
		}
		out = append(out, place(r, s, time.Duration(at*float64(time.Second))))
	}
	if c.Bursts {
		for t := burstEvery; t < arriving; t += burstEvery {
			for range int(rate * burstShare * burstEvery.Seconds()) {
				out = append(out, place(r, s, t+time.Duration(r.Int64N(int64(100*time.Millisecond)))))
			}
		}
	}
	if c.Cancels {
		cancelWave(r, out)
	}
	return out
}

// cancelWave gives up a third of the jobs that have come in the seconds before it, the
// last burst among them.
func cancelWave(r *rand.Rand, as []Arrival) {
	at := arriving/2 + 300*time.Millisecond
	for i := range as {
		if as[i].At < at && as[i].At > at-2*time.Second && r.IntN(3) == 0 {
			as[i].Cancel = at + time.Duration(r.Int64N(int64(20*time.Millisecond)))
		}
	}
}

func place(r *rand.Rand, s *Site, at time.Duration) Arrival {
	a := draw(r)
	a.At = at
	a.Entry = r.IntN(s.Entries)
	a.Profile = fmt.Sprintf("profile-%d", r.IntN(teams))
	return a
}

// draw returns a job without time and place. Job sizes are uniform in their logarithm,
// task times have a heavy tail.
func draw(r *rand.Rand) Arrival {
	n := int(math.Exp(r.Float64() * math.Log(maxJob)))
	base := float64(medianTask) * math.Exp(spreadJob*r.NormFloat64())
	wrong := math.Pow(wrongBy, 2*r.Float64()-1)
	var a Arrival
	for range n {
		d := base * math.Exp(spreadTask*r.NormFloat64())
		if r.Float64() < straggling {
			d *= stragglerX
		}
		took := min(max(time.Duration(d), shortest), longest)
		a.Tasks = append(a.Tasks, took)
		a.Sizes = append(a.Sizes, time.Duration(float64(took)*wrong))
	}
	return a
}
