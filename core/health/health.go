// Package health decides how many tasks a machine may run, by how starts on it ended.
//
// A machine that fails tasks of several jobs in a row, or takes no connection, is cut
// off. After a pause it gets one task at a time, then twice as many with each round
// that goes well; a failure in that time cuts it off again, for twice as long. A
// machine that refuses starts is paused for a moment. A machine that is slow compared
// with the others gets less.
//
// The owner of a job judges whose fault a failure is (see [Judge]); the home of the
// machine hears of it and decides.
//
// # Usage
//
//	t := health.New()
//	t.Done("executor-1", 1, 100)
//	cut := t.Failed(now, "executor-1", 1)
//	n := t.Limit(now, "executor-1", slots)
package health

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	minFailuresToCut    = 3                      // in a row, of several jobs, that cut a machine off
	falseCutProbability = 1e-4                   // of so many failures in a row on a healthy machine
	failureRateWeight   = 0.005                  // of one task in the share of failures
	minCutTime          = time.Second            // of a machine that was cut off
	maxCutTime          = 64 * time.Second       // and of one that keeps failing
	minBusyPause        = 5 * time.Millisecond   // of a machine that refused a start
	maxBusyPause        = 320 * time.Millisecond // and of one that keeps refusing
	slowdownWeight      = 0.02                   // of one task in the mean pace of a machine
	minSlowdownSamples  = 50                     // tasks before the pace of a machine counts
	maxSlowdownRatio    = 1.6                    // to the median pace, from which a machine is slow
)

// Table holds what is known of machines.
type Table struct {
	machines       map[string]*machine
	medianSlowdown float64 // pace of the machines
	failureRate    float64 // share of the tasks that fail, over all machines
}

// machine is what is known of one machine.
type machine struct {
	consecutiveFailures int       // failures in a row
	cutUntil            time.Time // no tasks before
	cutTime             time.Duration
	limit               int // tasks at once; 0 is no limit
	succeeded           int // tasks that went well since the limit was set

	busyUntil time.Time // no tasks before, as it refused one
	busyPause time.Duration

	slowdown        float64 // run times to the expected ones, mean
	slowdownSamples int     // tasks in the mean
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

// Done records n tasks that went well. Pace is the sum of their run times to the
// expected ones in percent; 0 is not known.
func (t *Table) Done(name string, n, pace int) {
	m := t.machine(name)
	m.consecutiveFailures, m.busyPause = 0, 0
	t.failureRate *= math.Pow(1-failureRateWeight, float64(n))
	if pace > 0 {
		each := float64(pace) / float64(n)
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

// Failed records n failures of different jobs that are the machine's own. It reports
// whether they cut the machine off.
func (t *Table) Failed(now time.Time, name string, n int) bool {
	m := t.machine(name)
	if now.Before(m.cutUntil) {
		return false // of a start from before the cut
	}
	m.consecutiveFailures += n
	t.failureRate += (1 - math.Pow(1-failureRateWeight, float64(n))) * (1 - t.failureRate)
	if m.consecutiveFailures < t.failuresToCut() && m.limit == 0 {
		return false
	}
	m.cutOff(now)
	return true
}

// failuresToCut returns how many failures in a row cut a machine off: the more tasks fail
// everywhere, the more are needed before they say something of the machine.
func (t *Table) failuresToCut() int {
	return max(minFailuresToCut, int(math.Log(falseCutProbability)/math.Log(min(t.failureRate, 0.99))))
}

// ConnectFailed records that no connection could be made. It reports whether that cut the
// machine off.
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

// Busy records that the machine refused a start as it had no room.
func (t *Table) Busy(now time.Time, name string) {
	m := t.machine(name)
	if now.Before(m.busyUntil) {
		return
	}
	m.busyPause = min(maxBusyPause, max(minBusyPause, 2*m.busyPause))
	m.busyUntil = now.Add(m.busyPause)
}

// Limit returns how many tasks the machine may run that has room for so many.
func (t *Table) Limit(now time.Time, name string, room int) int {
	m := t.machines[name]
	if m == nil {
		return room
	}
	if now.Before(m.cutUntil) || now.Before(m.busyUntil) {
		return 0
	}
	if m.limit >= room {
		m.limit = 0 // it is back
	}
	if m.limit > 0 {
		room = min(room, m.limit)
	}
	if m.slowdownSamples >= minSlowdownSamples && t.medianSlowdown > 0 && m.slowdown > maxSlowdownRatio*t.medianSlowdown {
		room = max(1, int(float64(room)*t.medianSlowdown/m.slowdown))
	}
	return room
}

// PausedUntil returns when a machine that may run nothing may run something again; zero if
// it may now.
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

// UpdateMedian works out the median pace of the machines, against which slow ones are told.
func (t *Table) UpdateMedian() {
	var paces []float64
	for _, m := range t.machines {
		if m.slowdownSamples >= minSlowdownSamples {
			paces = append(paces, m.slowdown)
		}
	}
	if len(paces) == 0 {
		return
	}
	slices.Sort(paces)
	t.medianSlowdown = paces[len(paces)/2]
}

// Retain forgets all machines but those named.
func (t *Table) Retain(name func(string) bool) {
	maps.DeleteFunc(t.machines, func(n string, _ *machine) bool { return !name(n) })
}
