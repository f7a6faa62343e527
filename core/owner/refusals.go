package owner

import (
	"time"

	"cornelwall"
)

// Refusal is why the job of a ticket does not run.
type Refusal struct {
	Reason     cornelwall.Reason
	RetryAfter time.Duration // after which to come back; kept to the millisecond
}

const (
	bucketsPerTTL = 64 // per life of a ticket
	reasonBits    = 8
	maxRetryAfter = 1<<(32-reasonBits) - 1 // milliseconds
)

// packedRefusal is a refusal in few bytes: milliseconds to come back above the reason.
type packedRefusal uint32

func pack(r Refusal) packedRefusal {
	back := min(max(0, r.RetryAfter.Milliseconds()), maxRetryAfter)
	return packedRefusal(back)<<reasonBits | packedRefusal(r.Reason)
}

func (p packedRefusal) unpack() Refusal {
	return Refusal{
		Reason:     cornelwall.Reason(p & (1<<reasonBits - 1)),
		RetryAfter: time.Duration(p>>reasonBits) * time.Millisecond,
	}
}

// refusals holds refusals in groups of tickets that were minted at about the same time,
// and drops them by the group. An incarnation mints far fewer than 2^32 tickets in one
// epoch, so that the low bits of the sequence number tell them apart.
type refusals struct {
	ticketTTL    time.Duration
	bucketLength time.Duration
	max          int
	len          int
	oldestBucket uint64 // epoch of the oldest group
	// floor is the first epoch of which all refusals are held. Of older tickets only jobs
	// are known, and those without a job are refused.
	completeFrom uint64
	buckets      map[uint64]map[uint32]packedRefusal
}

func newRefusals(life time.Duration, most int) refusals {
	return refusals{ticketTTL: life, bucketLength: max(1, life/bucketsPerTTL), max: most, buckets: map[uint64]map[uint32]packedRefusal{}}
}

func (r *refusals) bucketOf(tk cornelwall.Ticket) uint64 {
	return uint64(tk.MintedAfter() / r.bucketLength)
}

func (r *refusals) add(tk cornelwall.Ticket, refusal Refusal) {
	e := r.bucketOf(tk)
	if e < r.completeFrom {
		return
	}
	g := r.buckets[e]
	if g == nil {
		g = map[uint32]packedRefusal{}
		r.buckets[e] = g
		r.oldestBucket = min(r.oldestBucket, e)
	}
	before := len(g)
	g[uint32(tk.Seq)] = pack(refusal)
	r.len += len(g) - before
	for r.len > r.max {
		r.completeFrom = r.findOldest() + 1
		r.dropBucket(r.completeFrom - 1)
	}
}

func (r *refusals) get(tk cornelwall.Ticket) (Refusal, bool) {
	e := r.bucketOf(tk)
	if e < r.completeFrom {
		return Refusal{Reason: cornelwall.ReasonOverload}, true
	}
	p, ok := r.buckets[e][uint32(tk.Seq)]
	return p.unpack(), ok
}

// findOldest returns the epoch of the oldest group. There is at least one.
func (r *refusals) findOldest() uint64 {
	for r.buckets[r.oldestBucket] == nil {
		r.oldestBucket++
	}
	return r.oldestBucket
}

func (r *refusals) dropBucket(epoch uint64) {
	r.len -= len(r.buckets[epoch])
	delete(r.buckets, epoch)
}

// expire drops the groups whose tickets have all expired at the age of the incarnation.
func (r *refusals) expire(age time.Duration) {
	for len(r.buckets) > 0 {
		e := r.findOldest()
		if time.Duration(e+1)*r.bucketLength+r.ticketTTL > age {
			return
		}
		r.dropBucket(e)
	}
}
