// Package baseline places tasks in ways that were weighed and not chosen. The
// measurement compares the serving way with them.
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

// slots is what one entry knows of the executors by itself, without messages.
type slots struct {
	health *health.Table
	order  []string // live executors, by name
	room   map[string]int
	used   map[string]int
	wake   time.Time
}

func newSlots() slots {
	return slots{health: health.New(), room: map[string]int{}, used: map[string]int{}}
}

// free returns how many more tasks this entry may start on an executor.
func (s *slots) free(now time.Time, name string) int {
	if until := s.health.PausedUntil(now, name); !until.IsZero() && (s.wake.IsZero() || until.Before(s.wake)) {
		s.wake = until
	}
	return s.health.Limit(now, name, s.room[name]) - s.used[name]
}

// Release gives back a slot.
func (s *slots) Release(now time.Time, p cornelwall.Place, r cornelwall.StartReport) {
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

// place starts waiting tasks on the executors that pick names.
func (s *slots) place(d cornelwall.PlacerHost, pick func() (string, bool)) {
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

// Receive does nothing, as there are no messages.
func (s *slots) Receive(time.Time, cornelwall.Incarnation, *cornelwall.Message) {}

// Undelivered does nothing.
func (s *slots) Undelivered(time.Time, cornelwall.Incarnation, *cornelwall.Message) {}

// PeerLost does nothing.
func (s *slots) PeerLost(time.Time, cornelwall.Incarnation) {}

// Partners returns nobody.
func (s *slots) Partners() []cornelwall.Incarnation { return nil }

// Usage does nothing, as workers are not compared.
func (s *slots) Usage(time.Time, string, cornelwall.Need, time.Duration) {}

// Heartbeat compares the executors.
func (s *slots) Heartbeat(time.Time, cornelwall.PlacerHost) { s.health.UpdateMedian() }

// Next returns when an executor may be tried again.
func (s *slots) Next() time.Time { return s.wake }

// Capacity returns the slots of this entry.
func (s *slots) Capacity() cornelwall.Capacity {
	r := cornelwall.Capacity{}
	for _, name := range s.order {
		r.Slots += s.room[name]
	}
	return r
}
