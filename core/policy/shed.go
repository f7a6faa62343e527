package policy

import (
	"math"
	"time"

	"cornelwall"
)

const (
	minClassShare     = 0.1                   // of the started work that a class gets while its runs wait and can be on time
	minOvertakenShare = 0.25                  // of the capacity, that a class is taken to get beside the demand of higher ones
	crowdedDrain      = 20 * time.Millisecond // queued work from which on a batch that can't be on time makes way for others
	// minSlackShare is the least wait that is accepted while work is queued, as a share of the critical path.
	// Where the target leaves no room for a wait, a short queue must not turn every batch away.
	minSlackShare = 0.25
)

// AdmitQueued is Admit for an entry that sheds load, where a batch waits for the queued work ahead of it. While
// work is queued, a batch is taken only if it can be on time: one that is late would take places of batches that could
// be on time.
func (b *Batch) AdmitQueued(now time.Time, ahead time.Duration) Admission {
	switch admission := b.Admit(now, ahead); {
	case admission != Admit || ahead == 0:
		return admission
	case ahead > b.slack(now):
		return RefuseShed
	}
	return Admit
}

// slack returns how long a batch may wait and still be on time.
func (b *Batch) slack(now time.Time) time.Duration {
	return max(b.Due.Sub(now)-b.CriticalPath, time.Duration(minSlackShare*float64(b.CriticalPath)))
}

// Overtaken returns how long a batch of a class waits for the queued work ahead of it, as what arrives of higher classes
// meanwhile goes first. At least minOvertakenShare of the capacity is taken to be left: their demand is measured before any of it is refused.
func (l *ServiceLoad) Overtaken(ahead time.Duration, class int) time.Duration {
	if l.Capacity <= 0 || Class(class) == 0 {
		return ahead
	}
	left := 1 - l.Demand.UpTo(Class(class)-1)/l.Capacity
	return time.Duration(float64(ahead) / max(left, minOvertakenShare))
}

// QueueLoad is the work that waits at the holders of an owner and can be on time. Many owners assign tasks at the same time: the wait
// at the best holder is what the first of them gets, the queue of all is what a batch of several tasks meets.
type QueueLoad struct {
	Cores int                                 // thousandths of cores of the usable endpoints
	Work  [cornelwall.FreeCapacityClasses]int // by class, in thousandths of cores times milliseconds
}

// Add adds what a holder reports.
func (l *QueueLoad) Add(v *cornelwall.FreeCapacity) {
	l.Cores += v.Total
	for k, work := range v.Queued {
		l.Work[Class(k)] += max(work, 0)
	}
}

// upTo returns the work of a class and of those before it.
func (l *QueueLoad) upTo(class int) int {
	sum := 0
	for _, work := range l.Work[:Class(class)+1] {
		sum += work
	}
	return sum
}

// Ahead returns how long the work takes that goes before a task of a class. It is 0 if no holder with capacity is known.
func (l *QueueLoad) Ahead(class int) time.Duration {
	if l.Cores <= 0 {
		return 0
	}
	return time.Duration(float64(l.upTo(class)) / float64(l.Cores) * float64(time.Millisecond))
}

// Drain returns how long the holders take for all queued work.
func (l *QueueLoad) Drain() time.Duration { return l.Ahead(len(l.Work) - 1) }

// IsCrowded reports whether so much work of others waits that a batch which can't be on time has to make way. Own is the
// part of the work that belongs to the batch itself.
func (l *QueueLoad) IsCrowded(own int) bool {
	return l.upTo(len(l.Work)-1)-own > int(crowdedDrain.Milliseconds())*l.Cores
}

const classShareWindow = time.Second // time constant of the decay of started work

// ClassShares tracks the work that was started lately by class, so that strict priorities do not starve a class.
type ClassShares struct {
	started ClassDemand // thousandths of cores times milliseconds, decayed
	at      time.Time
}

// Record adds a run that starts.
func (s *ClassShares) Record(now time.Time, class, cores int, estimate time.Duration) {
	s.decay(now)
	s.started[Class(class)] += float64(cores) * float64(estimate.Milliseconds())
}

// IsStarved reports whether a class has got less than minClassShare of the work that was started lately.
func (s *ClassShares) IsStarved(now time.Time, class int) bool {
	s.decay(now)
	return s.started[Class(class)] < minClassShare*s.started.Total()
}

// decay is exponential, so that the shares do not depend on how often it is called.
func (s *ClassShares) decay(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / classShareWindow.Seconds())
		for i := range s.started {
			s.started[i] *= keep
		}
		s.at = now
	}
}
