// Package baseline holds placement policies that were considered and rejected. Package measure
// compares the policy of the product with them.
//
// # Usage
//
//	cfg.Placer = func(self cornelwall.Incarnation) cornelwall.Placer { return baseline.NewShares(self) }
package baseline

import (
	"time"

	"cornelwall"
	"cornelwall/core/health"
)

// slotTable is the view that one entry has of the executors without messages from other entries.
type slotTable struct {
	health    *health.Table
	executors []string // names of the live executors, sorted
	capacity  map[string]int
	used      map[string]int
	retryAt   time.Time
}

func newSlotTable() slotTable {
	return slotTable{health: health.New(), capacity: map[string]int{}, used: map[string]int{}}
}

// free returns how many more tasks this entry may start on an executor. If the executor is paused,
// it lowers retryAt to the end of the pause.
func (s *slotTable) free(now time.Time, name string) int {
	if until := s.health.PausedUntil(now, name); !until.IsZero() && (s.retryAt.IsZero() || until.Before(s.retryAt)) {
		s.retryAt = until
	}
	return s.health.Limit(now, name, s.capacity[name]) - s.used[name]
}

// Release gives back a slot.
func (s *slotTable) Release(now time.Time, p cornelwall.Place, r cornelwall.StartReport) {
	s.used[p.Machine]--
	switch {
	case r.Started && r.Reason == cornelwall.ReasonNone:
		s.health.Done(p.Machine, 1, r.SlowdownPercent)
	case r.Started && r.MachineFault:
		s.health.Failed(now, p.Machine, 1)
	case r.Reason == cornelwall.ReasonBusy:
		s.health.Busy(now, p.Machine)
	case r.Reason == cornelwall.ReasonConnect:
		s.health.ConnectFailed(now, p.Machine)
	}
}

// startTasks starts waiting tasks on the executors that pick returns, until it returns false.
func (s *slotTable) startTasks(d cornelwall.PlacerHost, pick func() (string, bool)) {
	for d.Waiting(cornelwall.Need{}) > 0 {
		name, ok := pick()
		if !ok {
			return
		}
		s.used[name]++
		if !d.StartNext(cornelwall.Place{Machine: name}) {
			s.used[name]--
			return
		}
	}
}

// Receive does nothing, as the baselines send no messages.
func (s *slotTable) Receive(time.Time, cornelwall.Incarnation, *cornelwall.Message) {}

// Undelivered does nothing.
func (s *slotTable) Undelivered(time.Time, cornelwall.Incarnation, *cornelwall.Message) {}

// PeerLost does nothing.
func (s *slotTable) PeerLost(time.Time, cornelwall.Incarnation) {}

// Partners returns nil, as no entry lends or borrows.
func (s *slotTable) Partners() []cornelwall.Incarnation { return nil }

// Usage does nothing, as the measurement has no workers.
func (s *slotTable) Usage(time.Time, string, cornelwall.Need, time.Duration) {}

// Heartbeat updates the median by which the executors are compared.
func (s *slotTable) Heartbeat(time.Time, cornelwall.PlacerHost) { s.health.UpdateMedian() }

// Next returns the time from which an executor may be tried again.
func (s *slotTable) Next() time.Time { return s.retryAt }

// Capacity returns the number of slots that this entry may use.
func (s *slotTable) Capacity() cornelwall.Capacity {
	r := cornelwall.Capacity{}
	for _, name := range s.executors {
		r.Slots += s.capacity[name]
	}
	return r
}
