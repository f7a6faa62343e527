package measure

import (
	"slices"
	"time"

	"cornelwall"
)

// Distribution summarizes a distribution of times, in seconds, or of ratios.
type Distribution struct{ Mean, P50, P99 float64 }

// summarize returns the mean and percentiles of the values, which it sorts.
func summarize(vs []float64) Distribution {
	if len(vs) == 0 {
		return Distribution{}
	}
	slices.Sort(vs)
	sum := 0.0
	for _, v := range vs {
		sum += v
	}
	at := func(q float64) float64 { return vs[min(len(vs)-1, int(q*float64(len(vs))))] }
	return Distribution{Mean: sum / float64(len(vs)), P50: at(0.50), P99: at(0.99)}
}

// Result holds the figures of one run.
type Result struct {
	Site   string
	Case   Case
	Policy string
	Seed   uint64

	Jobs          int          // that arrived after the warm-up and are not cancelled
	Done          int          // of them
	Refused       int          // of them
	Late          int          // of those done, answered after their deadline
	Failed        int          // of them, with any other outcome
	Unanswered    int          // of them, without an answer
	Response      Distribution // of the jobs done, in seconds
	Ideal         Distribution // of the same jobs under the ideal dispatcher
	IdealDoneOnly Distribution // under an ideal dispatcher without the jobs that were refused or failed here
	Slowdown      Distribution // response time divided by the longest task time of the job
	IdealSlowdown Distribution // the same under the ideal dispatcher

	Tasks        int     // starts that were not refused
	Goodput      float64 // work for jobs that ended in time, as a share of the capacity of the healthy slots
	Utilization  float64 // all work, as a share of the same capacity
	RefusalP99   float64 // seconds until a refusal, without the delay between client and entry
	RanOnFailing int     // tasks that ran on the failing executor
	StartedTwice int     // starts of tasks that had been started before
	Traffic      Traffic
	Refusals     map[cornelwall.Reason]int
	Retries      map[cornelwall.Reason]int
}

// WastePerTask returns the ratio of wasted messages to task messages. A task has two task
// messages: its start and its result.
func (r *Result) WastePerTask() float64 {
	return float64(r.Traffic.Wasted()) / float64(2*max(1, r.Tasks))
}

// Ratio returns the mean response time relative to that of the ideal dispatcher.
func (r *Result) Ratio() float64 { return r.Response.Mean / r.Ideal.Mean }

// RatioDoneOnly returns the mean response time relative to that of an ideal dispatcher without
// the jobs that were refused or failed in this run.
func (r *Result) RatioDoneOnly() float64 { return r.Response.Mean / r.IdealDoneOnly.Mean }

// idealDoneOnly returns the response times, after the warm-up, under an ideal dispatcher that is
// given only the jobs done in this run and the cancelled ones.
func (r *run) idealDoneOnly(slots int) []float64 {
	var as []Arrival
	for _, j := range r.jobs {
		if j.answer.Outcome == cornelwall.Done || j.CancelAt > 0 {
			as = append(as, *j.Arrival)
		}
	}
	var times []float64
	for i, end := range ideal(as, slots) {
		if as[i].At >= warmUp && as[i].CancelAt == 0 {
			times = append(times, (end - as[i].At).Seconds())
		}
	}
	return times
}

// result computes the figures of the run.
func (r *run) result(as []Arrival, slots int, policy Policy, seed uint64) Result {
	r.loans.closeRequests()
	res := Result{Site: r.site.Name, Case: r.runCase, Policy: policy.Name, Seed: seed,
		Tasks: r.starts - r.loans.RefusedStarts, RanOnFailing: r.ranOnFailing, StartedTwice: r.startedTwice,
		Traffic: r.loans.Traffic, Refusals: r.refusals, Retries: r.retries}
	limits := map[string]time.Duration{}
	for _, p := range profiles() {
		limits[p.Name] = time.Duration(p.Deadline)
	}
	ends := ideal(as, slots)
	var responses, idealResponses, slowdowns, idealSlowdowns, refusals []float64
	var good, busy time.Duration
	for i, j := range r.jobs {
		took := j.endedAt - j.At
		inTime := j.answer.Outcome == cornelwall.Done && took <= limits[j.Profile]+2*r.site.ClientDelay
		busy += j.workInWindow
		if inTime {
			good += j.workInWindow
		}
		if j.At < warmUp || j.CancelAt > 0 {
			continue
		}
		res.Jobs++
		switch {
		case j.endedAt == 0:
			res.Unanswered++
			continue
		case j.answer.Outcome == cornelwall.NotRun:
			res.Refused++
			refusals = append(refusals, (took - 2*r.site.ClientDelay).Seconds())
			continue
		case j.answer.Outcome != cornelwall.Done:
			res.Failed++
			continue
		case !inTime:
			res.Late++
		}
		res.Done++
		responses = append(responses, took.Seconds())
		idealResponses = append(idealResponses, (ends[i] - j.At).Seconds())
		slowdowns = append(slowdowns, took.Seconds()/j.LongestTask().Seconds())
		idealSlowdowns = append(idealSlowdowns, (ends[i]-j.At).Seconds()/j.LongestTask().Seconds())
	}
	res.Response, res.Ideal = summarize(responses), summarize(idealResponses)
	res.IdealDoneOnly = summarize(r.idealDoneOnly(slots))
	res.Slowdown, res.IdealSlowdown = summarize(slowdowns), summarize(idealSlowdowns)
	res.RefusalP99 = summarize(refusals).P99
	capacity := float64(slots) * (arrivalPeriod - warmUp).Seconds()
	res.Goodput, res.Utilization = good.Seconds()/capacity, busy.Seconds()/capacity
	return res
}
