package measure

import (
	"slices"
	"time"

	"cornelwall"
)

// Spread is a distribution of times, in seconds, or of ratios.
type Spread struct{ Mean, P50, P99 float64 }

// spread sums up the values.
func spread(vs []float64) Spread {
	if len(vs) == 0 {
		return Spread{}
	}
	slices.Sort(vs)
	sum := 0.0
	for _, v := range vs {
		sum += v
	}
	at := func(q float64) float64 { return vs[min(len(vs)-1, int(q*float64(len(vs))))] }
	return Spread{Mean: sum / float64(len(vs)), P50: at(0.50), P99: at(0.99)}
}

// Result is the figures of one run.
type Result struct {
	Site   string
	Case   Case
	Policy string
	Seed   uint64

	Jobs     int    // that arrived after the warm-up
	Done     int    // of them
	Refused  int    // of them
	Late     int    // of them, answered after their deadline
	Failed   int    // of them, with another answer
	Open     int    // of them, without an answer
	Response Spread // of the jobs done, in seconds
	Ideal    Spread // of the same jobs under the ideal dispatcher
	Alone    Spread // of the same jobs under the ideal dispatcher without the jobs that were turned away or failed
	Slowdown Spread // response to the longest task of the job
	IdealSlo Spread // the same under the ideal dispatcher

	Tasks     int     // starts that ran
	Goodput   float64 // work done for jobs that ended in time to the capacity of the healthy slots
	Busy      float64 // all work done to the same
	RefuseP99 float64 // seconds until a refusal, without the client's way
	Eaten     int     // tasks that ran on the failing executor
	Doubled   int     // tasks that were started twice
	Traffic   Traffic
	Refusals  map[cornelwall.Reason]int
	Retries   map[cornelwall.Reason]int
}

// WastePerTask returns wasted messages to task messages; a task has two, its start and
// its result.
func (r *Result) WastePerTask() float64 {
	return float64(r.Traffic.Wasted()) / float64(2*max(1, r.Tasks))
}

// Ratio returns the mean response to that of the ideal dispatcher.
func (r *Result) Ratio() float64 { return r.Response.Mean / r.Ideal.Mean }

// RatioAlone returns the mean response to that of the ideal dispatcher which is spared
// the jobs that this one turned away or failed.
func (r *Result) RatioAlone() float64 { return r.Response.Mean / r.Alone.Mean }

// doneAlone returns the response times of the jobs done after the warm-up under the
// ideal dispatcher, without the jobs that were not done.
func (r *run) doneAlone(slots int) []float64 {
	var as []Arrival
	for _, j := range r.jobs {
		if j.answer.Outcome == cornelwall.Done || j.Cancel > 0 {
			as = append(as, *j.Arrival)
		}
	}
	var times []float64
	for i, end := range ideal(as, slots) {
		if as[i].At >= warmUp && as[i].Cancel == 0 {
			times = append(times, (end - as[i].At).Seconds())
		}
	}
	return times
}

// result works out the figures.
func (r *run) result(as []Arrival, slots int, policy Policy, seed uint64) Result {
	r.ledger.finish()
	res := Result{Site: r.site.Name, Case: r.kase, Policy: policy.Name, Seed: seed,
		Tasks: r.starts - r.ledger.Refused, Eaten: r.eaten, Doubled: r.doubled,
		Traffic: r.ledger.Traffic, Refusals: r.refusals, Retries: r.retries}
	limits := map[string]time.Duration{}
	for _, p := range profiles() {
		limits[p.Name] = time.Duration(p.Deadline)
	}
	ends := ideal(as, slots)
	var own, best, slow, bestSlow, refuse []float64
	var good, busy time.Duration
	for i, j := range r.jobs {
		took := j.ended - j.At
		inTime := j.answer.Outcome == cornelwall.Done && took <= limits[j.Profile]+2*r.site.Client
		busy += j.served
		if inTime {
			good += j.served
		}
		if j.At < warmUp || j.Cancel > 0 {
			continue
		}
		res.Jobs++
		switch {
		case j.ended == 0:
			res.Open++
			continue
		case j.answer.Outcome == cornelwall.NotRun:
			res.Refused++
			refuse = append(refuse, (took - 2*r.site.Client).Seconds())
			continue
		case j.answer.Outcome != cornelwall.Done:
			res.Failed++
			continue
		case !inTime:
			res.Late++
		}
		res.Done++
		own = append(own, took.Seconds())
		best = append(best, (ends[i] - j.At).Seconds())
		slow = append(slow, took.Seconds()/j.Longest().Seconds())
		bestSlow = append(bestSlow, (ends[i]-j.At).Seconds()/j.Longest().Seconds())
	}
	res.Response, res.Ideal = spread(own), spread(best)
	res.Alone = spread(r.doneAlone(slots))
	res.Slowdown, res.IdealSlo = spread(slow), spread(bestSlow)
	res.RefuseP99 = spread(refuse).P99
	capacity := float64(slots) * (arriving - warmUp).Seconds()
	res.Goodput, res.Busy = good.Seconds()/capacity, busy.Seconds()/capacity
	return res
}
