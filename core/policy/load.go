package policy

import (
	"math"
	"time"

	"cornelwall"
)

const (
	MaxLoadAge    = time.Second            // age up to which a report is counted
	MaxDigestAge  = 500 * time.Millisecond // age up to which a report goes into a digest for other entries
	demandWindow  = 500 * time.Millisecond // time constant of the moving average of demand
	digestHopAge  = 100 * time.Millisecond // added to the age of a digest that arrives, so that it cannot circulate
	capacityBound = 4                      // plausible capacity of an entry, as a multiple of its share by weight
	demandBound   = 16                     // the same for demand; a balancer may send many callers to one entry
	extraMembers  = 2                      // entries unknown here that the digest of a data centre may count
	coresPerUnit  = 1000                   // figures in messages are in thousandths
)

// MovingRate is the exponentially weighted moving average of an amount per second.
type MovingRate struct {
	rate float64
	at   time.Time
}

// Add adds an amount that arrived at a time.
func (m *MovingRate) Add(now time.Time, amount float64) {
	m.rate, m.at = m.At(now)+amount/demandWindow.Seconds(), now
}

// At returns the amount per second as of a time.
func (m *MovingRate) At(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/demandWindow.Seconds())
}

// ClassDemand is the demand in cores by priority class. See Class for priorities beyond the last one.
type ClassDemand [cornelwall.FreeCapacityClasses]float64

// Class returns the class of a priority. Priorities beyond the last class belong to it.
func Class(priority int) int { return min(max(priority, 0), cornelwall.FreeCapacityClasses-1) }

// Total returns the demand of all classes.
func (d *ClassDemand) Total() float64 { return d.UpTo(len(d) - 1) }

// UpTo returns the demand of a class and of those before it.
func (d *ClassDemand) UpTo(class int) float64 {
	sum := 0.0
	for _, v := range d[:Class(class)+1] {
		sum += v
	}
	return sum
}

// LoadSum is the demand and the capacity, in cores, of a number of entries.
type LoadSum struct {
	Demand     ClassDemand
	Capacity   float64
	Entries    int       // counted
	ReportedAt time.Time // of the oldest report among them
}

// NewLoadSum returns the sum over one entry from figures that it has reported.
func NewLoadSum(f *cornelwall.ServiceFigures, reportedAt time.Time) LoadSum {
	s := LoadSum{Capacity: float64(f.Capacity) / coresPerUnit, Entries: 1, ReportedAt: reportedAt}
	for k, v := range f.Demand {
		s.Demand[Class(k)] += float64(v) / coresPerUnit
	}
	return s
}

// NewDigest returns the sum of a digest that has just arrived.
func NewDigest(f *cornelwall.CentreFigures, now time.Time) LoadSum {
	s := NewLoadSum(&f.ServiceFigures, now.Add(-f.Age-digestHopAge))
	s.Entries = f.Entries
	return s
}

// Figures returns the sum for a message.
func (s *LoadSum) Figures(service string) cornelwall.ServiceFigures {
	f := cornelwall.ServiceFigures{Service: service, Capacity: int(math.Round(s.Capacity * coresPerUnit))}
	for k, v := range s.Demand {
		if n := int(math.Round(v * coresPerUnit)); n > 0 {
			f.Demand = append(f.Demand, make([]int, k+1-len(f.Demand))...)
			f.Demand[k] = n
		}
	}
	return f
}

// Add adds the sum over other entries, none of which is counted already.
func (s *LoadSum) Add(o *LoadSum) {
	if o.Entries == 0 {
		return
	}
	if s.Entries == 0 || o.ReportedAt.Before(s.ReportedAt) {
		s.ReportedAt = o.ReportedAt
	}
	for k, v := range o.Demand {
		s.Demand[k] += v
	}
	s.Capacity += o.Capacity
	s.Entries += o.Entries
}

// Better reports whether a sum over entries of one data centre is to be taken in place of another one. They
// are not added, as they may count the same entries. More entries are better, then younger reports.
func (s *LoadSum) Better(o *LoadSum) bool {
	if s.Entries != o.Entries {
		return s.Entries > o.Entries
	}
	return s.ReportedAt.After(o.ReportedAt)
}

// IsFresh reports whether the reports in a sum are at most as old as given.
func (s *LoadSum) IsFresh(now time.Time, maxAge time.Duration) bool {
	return s.Entries > 0 && now.Sub(s.ReportedAt) <= maxAge
}

// LoadBound is what is plausible in a report of one entry, or in the digest of a data centre. Its zero value
// makes nothing plausible.
type LoadBound struct {
	Demand, Capacity float64 // in cores
	Entries          int
}

// EntryBound returns the bound for an entry from its share of the weights in its data centre and in all, and
// the capacity that is listed in both.
func EntryBound(shareOfCentre, shareOfAll, centreCapacity, allCapacity float64) LoadBound {
	share := shareOfCentre*centreCapacity + shareOfAll*allCapacity
	return LoadBound{Demand: demandBound * share, Capacity: capacityBound * share, Entries: 1}
}

// DigestBound returns the bound for the digest of a data centre from the number of its entries that are known
// and the capacity that is listed in all. Endpoints may be held in another data centre than their own.
func DigestBound(members int, allCapacity float64) LoadBound {
	return LoadBound{Demand: demandBound * allCapacity, Capacity: allCapacity, Entries: members + extraMembers}
}

// Exceeds reports whether a sum is implausible: above the bound, or below zero.
func (s *LoadSum) Exceeds(b LoadBound) bool {
	for _, v := range s.Demand {
		if v < 0 {
			return true
		}
	}
	return s.Demand.Total() > b.Demand || s.Capacity < 0 || s.Capacity > b.Capacity || s.Entries < 1 || s.Entries > b.Entries
}

// Limit reduces a sum to the bound.
func (s *LoadSum) Limit(b LoadBound) {
	s.Capacity = min(max(s.Capacity, 0), b.Capacity)
	left := b.Demand
	for k, v := range s.Demand {
		s.Demand[k] = min(max(v, 0), left)
		left -= s.Demand[k]
	}
}

// ServiceLoad is the load of one service over all entries with recent reports. An owner admits by it rather
// than by the best holder alone, as other owners may send their tasks to that holder too.
type ServiceLoad struct {
	Demand    ClassDemand   // cores asked for
	OwnDemand ClassDemand   // the part of it that callers of this entry ask for
	Capacity  float64       // cores of usable endpoints
	Entries   int           // counted in the figures, with this one
	Members   int           // entries that are alive, as far as known
	Age       time.Duration // of the oldest report that is counted
}

// NewServiceLoad returns the load from an entry's own figures and the sums over the data centres. The sum of
// its own data centre must include them.
func NewServiceLoad(now time.Time, own *LoadSum, centres []LoadSum, members int) ServiceLoad {
	var all LoadSum
	for i := range centres {
		all.Add(&centres[i])
	}
	return ServiceLoad{
		Demand: all.Demand, OwnDemand: own.Demand, Capacity: all.Capacity, Entries: all.Entries,
		Members: max(members, all.Entries), Age: now.Sub(all.ReportedAt),
	}
}
