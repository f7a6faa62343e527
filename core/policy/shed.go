package policy

import "time"

const (
	minClassShare     = 0.1                   // of the started work that a class gets while its runs wait and can be on time
	minOvertakenShare = 0.25                  // of the capacity, that a class is taken to get beside the demand of higher ones
	crowdedDrain      = 20 * time.Millisecond // queued work from which on a batch that can't be on time makes way for others
	// minSlackShare is the least wait that is accepted while work is queued, as a share of the critical path.
	// Where the target leaves no room for a wait, a short queue must not turn every batch away.
	minSlackShare = 0.25
)

// QueuedAhead returns how long the work takes that waits at all holders and goes before a task of a class. It is
// meant for many owners that assign tasks at the same time: the wait at the best holder is what the first of them
// gets, the queue of all is what a batch of several tasks meets. It is 0 if no holder with capacity is known.
func QueuedAhead(options []HolderOption, class int) time.Duration {
	total, ahead := 0, 0
	for i := range options {
		capacity := &options[i].View.Capacity
		total += capacity.Total
		for k, work := range capacity.Queued {
			if k <= class {
				ahead += work
			}
		}
	}
	if total == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(total) * float64(time.Millisecond))
}

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

// QueueLoad is the work that waits at the holders of an owner.
type QueueLoad struct {
	Cores int // thousandths of cores of the usable endpoints
	Work  int // that waits and can be on time, in thousandths of cores times milliseconds
}

// QueueLoadOf returns the load of the queues of holders.
func QueueLoadOf(options []HolderOption) QueueLoad {
	var l QueueLoad
	for i := range options {
		capacity := &options[i].View.Capacity
		l.Cores += capacity.Total
		for _, work := range capacity.Queued {
			l.Work += work
		}
	}
	return l
}

// Drain returns how long the holders take for the queued work.
func (l QueueLoad) Drain() time.Duration {
	return time.Duration(float64(l.Work) / float64(max(l.Cores, 1)) * float64(time.Millisecond))
}

// IsCrowded reports whether so much work of others waits that a batch which can't be on time has to make way. Own is the
// part of the work that belongs to the batch itself.
func (l QueueLoad) IsCrowded(own int) bool {
	return l.Work-own > int(crowdedDrain.Milliseconds())*l.Cores
}

// ClassShares tracks the work that was started lately by class, so that strict priorities do not starve a class.
type ClassShares struct {
	started [maxClasses]float64 // thousandths of cores times milliseconds, decayed
	at      time.Time
}

const (
	maxClasses       = 4           // classes that are told apart; all lower ones count as the last
	classShareWindow = time.Second // over which started work decays
)

// Record adds a run that starts.
func (s *ClassShares) Record(now time.Time, class, cores int, estimate time.Duration) {
	s.decay(now)
	s.started[min(max(class, 0), maxClasses-1)] += float64(cores) * float64(estimate.Milliseconds())
}

// IsStarved reports whether a class has got less than minClassShare of the work that was started lately.
func (s *ClassShares) IsStarved(now time.Time, class int) bool {
	s.decay(now)
	total := 0.0
	for _, work := range s.started {
		total += work
	}
	return total > 0 && s.started[min(max(class, 0), maxClasses-1)] < minClassShare*total
}

func (s *ClassShares) decay(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		keep := max(1-elapsed.Seconds()/classShareWindow.Seconds(), 0)
		for i := range s.started {
			s.started[i] *= keep
		}
		s.at = now
	}
}
