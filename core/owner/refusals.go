package owner

import (
	"time"

	"cornelwall"
)

// Refusal is the reason why the job of a ticket does not run.
type Refusal struct {
	Reason     cornelwall.Reason
	RetryAfter time.Duration // kept to the millisecond
}

const (
	bucketsPerTTL = 64 // buckets for the TTL of a ticket
	reasonBits    = 8
	maxRetryAfter = 1<<(32-reasonBits) - 1 // milliseconds
)

// packedRefusal is a refusal in 4 bytes: the reason in the low bits and RetryAfter in milliseconds
// above them.
type packedRefusal uint32

func pack(r Refusal) packedRefusal {
	ms := min(max(0, r.RetryAfter.Milliseconds()), maxRetryAfter)
	return packedRefusal(ms)<<reasonBits | packedRefusal(r.Reason)
}

func (p packedRefusal) unpack() Refusal {
	return Refusal{
		Reason:     cornelwall.Reason(p & (1<<reasonBits - 1)),
		RetryAfter: time.Duration(p>>reasonBits) * time.Millisecond,
	}
}

// refusals holds the refusals of tickets in buckets by the time at which the tickets were minted, and
// drops them by the bucket. An incarnation mints far fewer than 2^32 tickets in the time of one
// bucket, so that the low bits of the sequence number are unique in it.
type refusals struct {
	ticketTTL    time.Duration
	bucketLength time.Duration
	max          int // maximum number of refusals
	len          int
	oldestBucket uint64 // no bucket is older
	// completeFrom is the first bucket from which on no refusal was dropped because there were
	// more than max. An older ticket without a job counts as refused.
	completeFrom uint64
	buckets      map[uint64]map[uint32]packedRefusal
}

func newRefusals(ticketTTL time.Duration, maxRefusals int) refusals {
	return refusals{ticketTTL: ticketTTL, bucketLength: max(1, ticketTTL/bucketsPerTTL), max: maxRefusals, buckets: map[uint64]map[uint32]packedRefusal{}}
}

// bucketOf returns the bucket of a ticket.
func (r *refusals) bucketOf(tk cornelwall.Ticket) uint64 {
	return uint64(tk.MintedAfter() / r.bucketLength)
}

// add records a refusal. If there are too many, it drops the oldest buckets.
func (r *refusals) add(tk cornelwall.Ticket, refusal Refusal) {
	bucket := r.bucketOf(tk)
	if bucket < r.completeFrom {
		return
	}
	entries := r.buckets[bucket]
	if entries == nil {
		entries = map[uint32]packedRefusal{}
		r.buckets[bucket] = entries
		r.oldestBucket = min(r.oldestBucket, bucket)
	}
	before := len(entries)
	entries[uint32(tk.Seq)] = pack(refusal)
	r.len += len(entries) - before
	for r.len > r.max {
		r.completeFrom = r.findOldest() + 1
		r.dropBucket(r.completeFrom - 1)
	}
}

// get returns the refusal of a ticket. If it may have been dropped, the reason is ReasonOverload.
func (r *refusals) get(tk cornelwall.Ticket) (Refusal, bool) {
	bucket := r.bucketOf(tk)
	if bucket < r.completeFrom {
		return Refusal{Reason: cornelwall.ReasonOverload}, true
	}
	p, ok := r.buckets[bucket][uint32(tk.Seq)]
	return p.unpack(), ok
}

// findOldest returns the oldest bucket that has refusals. There must be one.
func (r *refusals) findOldest() uint64 {
	for r.buckets[r.oldestBucket] == nil {
		r.oldestBucket++
	}
	return r.oldestBucket
}

func (r *refusals) dropBucket(bucket uint64) {
	r.len -= len(r.buckets[bucket])
	delete(r.buckets, bucket)
}

// expire drops the buckets whose tickets have all expired when the incarnation has the given age.
func (r *refusals) expire(age time.Duration) {
	for len(r.buckets) > 0 {
		bucket := r.findOldest()
		if time.Duration(bucket+1)*r.bucketLength+r.ticketTTL > age {
			return
		}
		r.dropBucket(bucket)
	}
}
