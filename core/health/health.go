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
	failures  = 3                      // in a row, of several jobs, that cut a machine off
	chance    = 1e-4                   // of so many failures in a row on a healthy machine
	rateShare = 0.005                  // of one task in the share of failures
	firstCut  = time.Second            // of a machine that was cut off
	maxCut    = 64 * time.Second       // and of one that keeps failing
	firstBusy = 5 * time.Millisecond   // of a machine that refused a start
	maxBusy   = 320 * time.Millisecond // and of one that keeps refusing
	paceShare = 0.02                   // of one task in the mean pace of a machine
	minPaced  = 50                     // tasks before the pace of a machine counts
	slowRatio = 1.6                    // to the median pace, from which a machine is slow
)

// Table holds what is known of machines.
type Table struct {
	machines map[string]*machine
	median   float64 // pace of the machines
	rate     float64 // share of the tasks that fail, over all machines
}

// machine is what is known of one machine.
type machine struct {
	failed int       // failures in a row
	cut    time.Time // no tasks before
	cutFor time.Duration
	limit  int // tasks at once; 0 is no limit
	passed int // tasks that went well since the limit was set

	busy    time.Time // no tasks before, as it refused one
	busyFor time.Duration

	pace  float64 // run times to the expected ones, mean
	paced int     // tasks in the mean
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
	m.failed, m.busyFor = 0, 0
	t.rate *= math.Pow(1-rateShare, float64(n))
	if pace > 0 {
		each := float64(pace) / float64(n)
		for range n {
			m.paced++
			m.pace += max(paceShare, 1/float64(m.paced)) * (each - m.pace)
		}
	}
	if m.limit == 0 {
		return
	}
	if m.passed += n; m.passed >= m.limit {
		m.limit, m.passed = 2*m.limit, 0
	}
}

// Failed records n failures of different jobs that are the machine's own. It reports
// whether they cut the machine off.
func (t *Table) Failed(now time.Time, name string, n int) bool {
	m := t.machine(name)
	if now.Before(m.cut) {
		return false // of a start from before the cut
	}
	m.failed += n
	t.rate += (1 - math.Pow(1-rateShare, float64(n))) * (1 - t.rate)
	if m.failed < t.needed() && m.limit == 0 {
		return false
	}
	m.cutOff(now)
	return true
}

// needed returns how many failures in a row cut a machine off: the more tasks fail
// everywhere, the more are needed before they say something of the machine.
func (t *Table) needed() int {
	return max(failures, int(math.Log(chance)/math.Log(min(t.rate, 0.99))))
}

// Unreached records that no connection could be made. It reports whether that cut the
// machine off.
func (t *Table) Unreached(now time.Time, name string) bool {
	m := t.machine(name)
	if now.Before(m.cut) {
		return false
	}
	m.cutOff(now)
	return true
}

func (m *machine) cutOff(now time.Time) {
	if m.limit == 0 {
		m.cutFor = firstCut
	} else {
		m.cutFor = min(maxCut, 2*m.cutFor)
	}
	m.cut = now.Add(m.cutFor)
	m.failed, m.limit, m.passed = 0, 1, 0
}

// Busy records that the machine refused a start as it had no room.
func (t *Table) Busy(now time.Time, name string) {
	m := t.machine(name)
	if now.Before(m.busy) {
		return
	}
	m.busyFor = min(maxBusy, max(firstBusy, 2*m.busyFor))
	m.busy = now.Add(m.busyFor)
}

// Limit returns how many tasks the machine may run that has room for so many.
func (t *Table) Limit(now time.Time, name string, room int) int {
	m := t.machines[name]
	if m == nil {
		return room
	}
	if now.Before(m.cut) || now.Before(m.busy) {
		return 0
	}
	if m.limit >= room {
		m.limit = 0 // it is back
	}
	if m.limit > 0 {
		room = min(room, m.limit)
	}
	if m.paced >= minPaced && t.median > 0 && m.pace > slowRatio*t.median {
		room = max(1, int(float64(room)*t.median/m.pace))
	}
	return room
}

// Until returns when a machine that may run nothing may run something again; zero if
// it may now.
func (t *Table) Until(now time.Time, name string) time.Time {
	m := t.machines[name]
	if m == nil {
		return time.Time{}
	}
	until := m.cut
	if m.busy.After(until) {
		until = m.busy
	}
	if !until.After(now) {
		return time.Time{}
	}
	return until
}

// Compare works out the median pace of the machines, against which slow ones are told.
func (t *Table) Compare() {
	var paces []float64
	for _, m := range t.machines {
		if m.paced >= minPaced {
			paces = append(paces, m.pace)
		}
	}
	if len(paces) == 0 {
		return
	}
	slices.Sort(paces)
	t.median = paces[len(paces)/2]
}

// Keep forgets all machines but those named.
func (t *Table) Keep(name func(string) bool) {
	maps.DeleteFunc(t.machines, func(n string, _ *machine) bool { return !name(n) })
}
