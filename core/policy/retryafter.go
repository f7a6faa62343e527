package policy

import (
	"math"
	"time"
)

const (
	minRetryAfter    = 500 * time.Millisecond // earliest retry of a refused caller
	shortRetrySpread = time.Second            // over which retries are spread if the load is not known
	maxRetrySeconds  = 10                     // latest retry
	retrySpread      = 0.5                    // of the delay, over which retries are spread
	maxRetryBase     = 6                      // latest planned retry in seconds; the spread then ends before maxRetrySeconds
	usableCapacity   = 0.85                   // share of the cores that runs fill, as what is left on an endpoint mostly fits none
	minSpareCapacity = 0.05                   // least share of the capacity that counts as left, as the present demand may not last
	minOwnShare      = 0.5                    // least share of an entry, as a multiple of an even one, as its demand varies
	retrySlots       = 16                     // seconds of which a RetryPlan keeps the work; more than maxRetrySeconds
)

// ShortRetryAfter returns the delay for a refused caller if the load is not known, or if another entry takes the batch.
// Salt selects one of 1000 delays, to keep callers from retrying all at once.
func ShortRetryAfter(salt uint64) time.Duration {
	return minRetryAfter + time.Duration(salt*7919%1000)*shortRetrySpread/1000
}

// RetryPlan is the work that callers of this entry were told to come back with, by class and the second in which it is
// expected. Without it, all who are refused in a burst would be told the same time.
type RetryPlan struct {
	slots [retrySlots]struct {
		second int64 // since 1970
		work   ClassDemand
	}
}

// Add records work, in cores times seconds, that is to come back at a time.
func (p *RetryPlan) Add(at time.Time, class int, work float64) {
	slot := &p.slots[uint64(at.Unix())%retrySlots]
	if slot.second != at.Unix() {
		slot.second, slot.work = at.Unix(), ClassDemand{}
	}
	slot.work[Class(class)] += work
}

// dueIn returns the work of a class and of those before it that is expected in the second of a time.
func (p *RetryPlan) dueIn(at time.Time, class int) float64 {
	if slot := &p.slots[uint64(at.Unix())%retrySlots]; slot.second == at.Unix() {
		return slot.work.UpTo(class)
	}
	return 0
}

// returning returns the work that was expected back within the last second, as part of the measured demand.
func (p *RetryPlan) returning(now time.Time, class int) float64 {
	elapsed := float64(now.Nanosecond()) / float64(time.Second)
	return elapsed*p.dueIn(now, class) + (1-elapsed)*p.dueIn(now.Add(-time.Second), class)
}

// Refusal is a batch that is refused because of the load.
type Refusal struct {
	Class     int
	Work      float64       // cores times seconds
	ServeTime time.Duration // in which it could have been served
	Backlog   float64       // cores times seconds that go before its class, at all endpoints
	Salt      uint64        // of the request
}

// RetryAfter returns the time after which the caller of a refused batch should come back, and records it in the
// plan. The times are planned because callers who all come back at once would make another burst.
//
// The time is the first at which the backlog, the work that comes back before and the batch itself fit beside the
// demand of its class and of those before it. An entry plans with its share of what is left, in proportion to
// the demand of its callers, so that all entries together fill it without coordination. The time is in whole
// seconds, as Retry-After is, and is spread by the salt over retrySpread of it.
func RetryAfter(now time.Time, load *ServiceLoad, plan *RetryPlan, r *Refusal) time.Duration {
	if load.Capacity <= 0 || load.Entries == 0 {
		return ShortRetryAfter(r.Salt)
	}
	share := load.ownShare(r.Class)
	budget := share * load.spare(r.Class, plan.returning(now, r.Class)/share) // work per second
	at := func(n int) time.Time { return now.Add(time.Duration(n) * time.Second) }
	first := int(math.Ceil(max(r.ServeTime, minRetryAfter).Seconds()))
	planned := share*r.Backlog + r.Work
	for n := 1; n <= maxRetryBase; n++ {
		planned += plan.dueIn(at(n), r.Class)
		if n >= first && planned <= budget*float64(n) {
			break
		}
		first = max(first, n+1)
	}
	last := min(first+int(math.Ceil(retrySpread*float64(first))), maxRetrySeconds)
	if first > maxRetryBase {
		first, last = max(maxRetryBase, min(int(math.Ceil(r.ServeTime.Seconds())), maxRetrySeconds)), maxRetrySeconds
	}
	n := plan.pick(now, first, last, budget, r)
	plan.Add(at(n), r.Class, r.Work)
	return time.Duration(n) * time.Second
}

// pick returns the delay in seconds from first to last that a request gets: by its salt, unless the budget of that
// second is used up. Then the next one with some left, or that with the least work.
func (p *RetryPlan) pick(now time.Time, first, last int, budget float64, r *Refusal) int {
	count := last - first + 1
	best, least := 0, math.Inf(1)
	for i := range count {
		n := first + (int(r.Salt%uint64(count))+i)%count
		due := p.dueIn(now.Add(time.Duration(n)*time.Second), r.Class)
		if due == 0 || due+r.Work <= budget {
			return n
		}
		if due < least {
			best, least = n, due
		}
	}
	return best
}

// ownShare returns the share of this entry in the demand of a class and of those before it.
func (l *ServiceLoad) ownShare(class int) float64 {
	even := 1 / float64(l.Entries)
	if all := l.Demand.UpTo(class); all > 0 {
		return min(max(l.OwnDemand.UpTo(class)/all, minOwnShare*even), 1)
	}
	return even
}

// spare returns the cores that are left beside the demand of a class and of those before it. The part of the demand that
// comes from callers who were told to come back is planned already.
func (l *ServiceLoad) spare(class int, returning float64) float64 {
	fresh := max(l.Demand.UpTo(class)-returning, 0)
	return max(usableCapacity*l.Capacity-fresh, minSpareCapacity*l.Capacity)
}
