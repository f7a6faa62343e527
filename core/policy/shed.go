package policy

import (
	"math"
	"time"

	"cornelwall"
)

const (
	minClassShare     = 0.1                   // share of the started work below which a class is starved
	minOvertakenShare = 0.25                  // share of the capacity that a class is assumed to get at least, see Overtaken
	crowdedDrain      = 20 * time.Millisecond // time to drain the queued work, above which late batches make way for others
	// minSlackShare is the least wait that is accepted while work is queued, as a share of the critical path.
	// Where the target leaves no room for a wait, a short queue must not turn every batch away.
	minSlackShare = 0.25
)

// AdmitQueued is Admit for an entry that sheds load, where ahead is the time that the queued work ahead of the batch
// takes. While work is queued, a batch is taken only if it can be on time, as a late one would take the
// place of another that can be.
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

// Overtaken returns how long a batch of a class waits for the queued work ahead of it while new work of higher
// classes goes first. It assumes that they leave at least minOvertakenShare of the capacity, as their demand
// includes what is refused.
func (l *ServiceLoad) Overtaken(ahead time.Duration, class int) time.Duration {
	if l.Capacity <= 0 || Class(class) == 0 {
		return ahead
	}
	left := 1 - l.Demand.UpTo(Class(class)-1)/l.Capacity
	return time.Duration(float64(ahead) / max(left, minOvertakenShare))
}

// QueueLoad is the work that can be on time and waits at the holders that an owner knows. It covers all of them, as
// many owners assign tasks at the same time, and only the first of them finds the wait of the best holder.
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

// Ahead returns how long the holders take for the queued work that goes before a task of a class. It is 0 if
// no holder with capacity is known.
func (l *QueueLoad) Ahead(class int) time.Duration {
	if l.Cores <= 0 {
		return 0
	}
	return time.Duration(float64(l.upTo(class)) / float64(l.Cores) * float64(time.Millisecond))
}

// Drain returns how long the holders take for all queued work.
func (l *QueueLoad) Drain() time.Duration { return l.Ahead(len(l.Work) - 1) }

// IsCrowded reports whether so much work of others waits that a batch that can't be on time has to make way. Own is
// the part of the queued work that belongs to the batch.
func (l *QueueLoad) IsCrowded(own int) bool {
	return l.upTo(len(l.Work)-1)-own > int(crowdedDrain.Milliseconds())*l.Cores
}

const classShareWindow = time.Second // time constant of the decay of started work

// ClassShares tracks the recently started work by class, so that classes which priorities starve are found.
type ClassShares struct {
	started ClassDemand // thousandths of cores times milliseconds, decayed
	at      time.Time
}

// Record adds a run that starts.
func (s *ClassShares) Record(now time.Time, class, cores int, estimate time.Duration) {
	s.decay(now)
	s.started[Class(class)] += float64(cores) * float64(estimate.Milliseconds())
}

// IsStarved reports whether a class has less than minClassShare of the recently started work.
func (s *ClassShares) IsStarved(now time.Time, class int) bool {
	s.decay(now)
	return s.started[Class(class)] < minClassShare*s.started.Total()
}

// decay reduces the started work by the time since the last call. It is exponential, so that the shares do not
// depend on how often it is called.
func (s *ClassShares) decay(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / classShareWindow.Seconds())
		for i := range s.started {
			s.started[i] *= keep
		}
		s.at = now
	}
}
