// Package health limits how many tasks a machine may run, by the results of its earlier tasks.
//
// A machine that fails tasks of several jobs in a row, or refuses connections, is cut off: it
// gets no tasks for a while. After that it may run one task at a time, and the limit doubles
// each time as many tasks as the limit have succeeded. A failure in that phase cuts it off
// again, for twice as long. A machine that refuses a start because it is busy is paused with
// exponential backoff. A machine that is slow compared with the others gets fewer tasks.
//
// The owner of a job decides whether a failure is the fault of the machine or of the job (see
// [FaultAttribution]) and reports it to the lender of the machine, which keeps the [Table].
//
// # Usage
//
//	t := health.New()
//	t.Done("executor-1", 1, 100)
//	cutOff := t.Failed(now, "executor-1", 1)
//	n := t.Limit(now, "executor-1", slots)
package health

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	minFailuresToCut    = 3                      // failures in a row, of several jobs, before a machine is cut off
	falseCutProbability = 1e-4                   // accepted probability that a healthy machine is cut off
	failureRateWeight   = 0.005                  // weight of one task in the failure rate
	minCutTime          = time.Second            // length of the first cut of a machine
	maxCutTime          = 64 * time.Second       // limit as it doubles with further failures
	minBusyPause        = 5 * time.Millisecond   // backoff after the first refused start
	maxBusyPause        = 320 * time.Millisecond // limit as it doubles with further refusals
	slowdownWeight      = 0.02                   // minimum weight of one task in the slowdown of a machine
	minSlowdownSamples  = 50                     // tasks before the slowdown of a machine is used
	maxSlowdownRatio    = 1.6                    // slowdown / median slowdown above which a machine is slow
)

// Table holds the health of machines.
type Table struct {
	machines       map[string]*machine
	medianSlowdown float64 // median of the machines' slowdown
	failureRate    float64 // moving average of the share of failed tasks, over all machines
}

// machine is the health of one machine.
type machine struct {
	consecutiveFailures int       // failures since the last success
	cutUntil            time.Time // it was cut off and gets no tasks before this time
	cutTime             time.Duration
	limit               int // of concurrent tasks while ramping up after a cut; 0 is no limit
	succeeded           int // tasks that succeeded since the limit was set

	busyUntil time.Time // it refused a task and gets none before this time
	busyPause time.Duration

	slowdown        float64 // moving average of StartReport.SlowdownPercent
	slowdownSamples int     // tasks in that average
}

// New returns an empty table.
func New() *Table { return &Table{machines: map[string]*machine{}} }

func (t *Table) machine(name string) *machine {
	m := t.machines[name]
	if m == nil {
		m = &machine{}
		t.machines[name] = m
	}
	return m
}

// Done records n tasks that succeeded. SlowdownSum is the sum of their
// StartReport.SlowdownPercent; 0 is unknown.
func (t *Table) Done(name string, n, slowdownSum int) {
	m := t.machine(name)
	m.consecutiveFailures, m.busyPause = 0, 0
	t.failureRate *= math.Pow(1-failureRateWeight, float64(n))
	if slowdownSum > 0 {
		each := float64(slowdownSum) / float64(n)
		for range n {
			m.slowdownSamples++
			m.slowdown += max(slowdownWeight, 1/float64(m.slowdownSamples)) * (each - m.slowdown)
		}
	}
	if m.limit == 0 {
		return
	}
	if m.succeeded += n; m.succeeded >= m.limit {
		m.limit, m.succeeded = 2*m.limit, 0
	}
}

// Failed records n failures, of different jobs, that were attributed to the machine. It reports
// whether they cut the machine off.
func (t *Table) Failed(now time.Time, name string, n int) bool {
	m := t.machine(name)
	if now.Before(m.cutUntil) {
		return false // the task was started before the cut
	}
	m.consecutiveFailures += n
	t.failureRate += (1 - math.Pow(1-failureRateWeight, float64(n))) * (1 - t.failureRate)
	if m.consecutiveFailures < t.failuresToCut() && m.limit == 0 {
		return false
	}
	m.cutOff(now)
	return true
}

// failuresToCut returns how many failures in a row cut a machine off. The higher the failure
// rate over all machines, the more are required as evidence against a single machine.
func (t *Table) failuresToCut() int {
	return max(minFailuresToCut, int(math.Log(falseCutProbability)/math.Log(min(t.failureRate, 0.99))))
}

// ConnectFailed records that a connection to the machine could not be made. It reports whether
// that cut the machine off.
func (t *Table) ConnectFailed(now time.Time, name string) bool {
	m := t.machine(name)
	if now.Before(m.cutUntil) {
		return false
	}
	m.cutOff(now)
	return true
}

func (m *machine) cutOff(now time.Time) {
	if m.limit == 0 {
		m.cutTime = minCutTime
	} else {
		m.cutTime = min(maxCutTime, 2*m.cutTime)
	}
	m.cutUntil = now.Add(m.cutTime)
	m.consecutiveFailures, m.limit, m.succeeded = 0, 1, 0
}

// Busy records that the machine refused a start because it had no free capacity.
func (t *Table) Busy(now time.Time, name string) {
	m := t.machine(name)
	if now.Before(m.busyUntil) {
		return
	}
	m.busyPause = min(maxBusyPause, max(minBusyPause, 2*m.busyPause))
	m.busyUntil = now.Add(m.busyPause)
}

// Limit returns how many tasks a machine with the given number of slots may run.
func (t *Table) Limit(now time.Time, name string, slots int) int {
	m := t.machines[name]
	if m == nil {
		return slots
	}
	if now.Before(m.cutUntil) || now.Before(m.busyUntil) {
		return 0
	}
	if m.limit >= slots {
		m.limit = 0 // fully ramped up
	}
	if m.limit > 0 {
		slots = min(slots, m.limit)
	}
	if m.slowdownSamples >= minSlowdownSamples && t.medianSlowdown > 0 && m.slowdown > maxSlowdownRatio*t.medianSlowdown {
		slots = max(1, int(float64(slots)*t.medianSlowdown/m.slowdown))
	}
	return slots
}

// PausedUntil returns when a machine that is cut off or paused may run tasks again; zero if it
// may now.
func (t *Table) PausedUntil(now time.Time, name string) time.Time {
	m := t.machines[name]
	if m == nil {
		return time.Time{}
	}
	until := m.cutUntil
	if m.busyUntil.After(until) {
		until = m.busyUntil
	}
	if !until.After(now) {
		return time.Time{}
	}
	return until
}

// UpdateMedian computes the median slowdown of the machines, which slow machines are compared
// with.
func (t *Table) UpdateMedian() {
	var slowdowns []float64
	for _, m := range t.machines {
		if m.slowdownSamples >= minSlowdownSamples {
			slowdowns = append(slowdowns, m.slowdown)
		}
	}
	if len(slowdowns) == 0 {
		return
	}
	slices.Sort(slowdowns)
	t.medianSlowdown = slowdowns[len(slowdowns)/2]
}

// Retain removes all machines except those whose name keep returns true for.
func (t *Table) Retain(keep func(string) bool) {
	maps.DeleteFunc(t.machines, func(name string, _ *machine) bool { return !keep(name) })
}
