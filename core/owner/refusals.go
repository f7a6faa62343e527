package owner

import (
	"time"

	"cornelwall"
)

// Refusal is why the job of a ticket does not run.
type Refusal struct {
	Reason cornelwall.Reason
	Back   time.Duration // after which to come back; kept to the millisecond
}

const (
	epochs     = 64 // per life of a ticket
	reasonBits = 8
	maxBack    = 1<<(32-reasonBits) - 1 // milliseconds
)

// packed is a refusal in few bytes: milliseconds to come back above the reason.
type packed uint32

func pack(r Refusal) packed {
	back := min(max(0, r.Back.Milliseconds()), maxBack)
	return packed(back)<<reasonBits | packed(r.Reason)
}

func (p packed) refusal() Refusal {
	return Refusal{
		Reason: cornelwall.Reason(p & (1<<reasonBits - 1)),
		Back:   time.Duration(p>>reasonBits) * time.Millisecond,
	}
}

// refusals holds refusals in groups of tickets that were minted at about the same time,
// and drops them by the group. An incarnation mints far fewer than 2^32 tickets in one
// epoch, so that the low bits of the sequence number tell them apart.
type refusals struct {
	life  time.Duration
	epoch time.Duration
	max   int
	len   int
	first uint64 // epoch of the oldest group
	// floor is the first epoch of which all refusals are held. Of older tickets only jobs
	// are known, and those without a job are refused.
	floor  uint64
	groups map[uint64]map[uint32]packed
}

func newRefusals(life time.Duration, most int) refusals {
	return refusals{life: life, epoch: max(1, life/epochs), max: most, groups: map[uint64]map[uint32]packed{}}
}

func (r *refusals) of(tk cornelwall.Ticket) uint64 { return uint64(tk.MintedAfter() / r.epoch) }

func (r *refusals) add(tk cornelwall.Ticket, refusal Refusal) {
	e := r.of(tk)
	if e < r.floor {
		return
	}
	g := r.groups[e]
	if g == nil {
		g = map[uint32]packed{}
		r.groups[e] = g
		r.first = min(r.first, e)
	}
	before := len(g)
	g[uint32(tk.Seq)] = pack(refusal)
	r.len += len(g) - before
	for r.len > r.max {
		r.floor = r.oldest() + 1
		r.drop(r.floor - 1)
	}
}

func (r *refusals) get(tk cornelwall.Ticket) (Refusal, bool) {
	e := r.of(tk)
	if e < r.floor {
		return Refusal{Reason: cornelwall.ReasonOverload}, true
	}
	p, ok := r.groups[e][uint32(tk.Seq)]
	return p.refusal(), ok
}

// oldest returns the epoch of the oldest group. There is at least one.
func (r *refusals) oldest() uint64 {
	for r.groups[r.first] == nil {
		r.first++
	}
	return r.first
}

func (r *refusals) drop(epoch uint64) {
	r.len -= len(r.groups[epoch])
	delete(r.groups, epoch)
}

// forget drops the groups whose tickets have all expired at the age of the incarnation.
func (r *refusals) forget(age time.Duration) {
	for len(r.groups) > 0 {
		e := r.oldest()
		if time.Duration(e+1)*r.epoch+r.life > age {
			return
		}
		r.drop(e)
	}
}
