package dispatch

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornelwall"
)

// readersPerCentre is the number of entries of a data centre that read the list of endpoints.
const readersPerCentre = 2

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// mixHash returns a hash of two hashes.
func mixHash(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// score returns the score of an entry for a key by weighted rendezvous hashing: the entry with
// the greatest score wins, with a probability in proportion to its weight.
func score(entry, key uint64, weight int) float64 {
	u := (float64(mixHash(entry, key)>>11) + 0.5) / (1 << 53)
	return -float64(max(weight, 1)) / math.Log(u)
}

// member is an entry that may hold endpoints.
type member struct {
	id     cornelwall.Incarnation
	hash   uint64
	weight int
}

// ranking is the entries that may hold endpoints, in order of incarnation and by data centre.
type ranking struct {
	all          []member
	byCentre     map[string][]member
	ring         []ringPoint              // of witnesses
	readOrder    []cornelwall.Incarnation // entries of this data centre; the first ones read the list of endpoints
	readPosition int                      // of this entry in readOrder; its length if it is not there
	digest       uint64                   // of all
}

func newRanking(all []member, self cornelwall.Incarnation) ranking {
	r := ranking{all: all, byCentre: map[string][]member{}, ring: newRing(all)}
	for _, m := range all {
		r.byCentre[m.id.DataCentre] = append(r.byCentre[m.id.DataCentre], m)
	}
	r.readOrder = readOrder(r.byCentre[self.DataCentre])
	r.readPosition = r.positionOf(self)
	return r
}

// readOrder returns the entries of a data centre in the order in which they are to read the list of
// endpoints: those with the greatest weights first.
func readOrder(members []member) []cornelwall.Incarnation {
	list := slices.Clone(members)
	slices.SortFunc(list, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.hash, b.hash))
	})
	order := make([]cornelwall.Incarnation, len(list))
	for i := range list {
		order[i] = list[i].id
	}
	return order
}

// positionOf returns the position of an entry in readOrder, or the length of that if it is not there.
func (r *ranking) positionOf(id cornelwall.Incarnation) int {
	if i := slices.Index(r.readOrder, id); i >= 0 {
		return i
	}
	return len(r.readOrder)
}

// isReader reports whether this entry is one of those of its data centre that read the list of
// endpoints.
func (r *ranking) isReader() bool { return r.readPosition < min(readersPerCentre, len(r.readOrder)) }

// readsBefore reports whether another entry reads the list rather than this one.
func (r *ranking) readsBefore(id cornelwall.Incarnation) bool {
	return r.positionOf(id) < r.readPosition
}

// holders returns the entry that should hold an endpoint, and the one other than self that should
// hold it if self does not. They are of the endpoint's data centre if that has such entries.
func (r *ranking) holders(ep *endpoint, self cornelwall.Incarnation) (best, other cornelwall.Incarnation) {
	list := r.byCentre[ep.DataCentre]
	if len(list) == 0 {
		list = r.all
	}
	bestScore, otherScore := math.Inf(-1), math.Inf(-1)
	for i := range list {
		m := &list[i]
		s := score(m.hash, ep.hash, m.weight)
		if s > bestScore {
			best, bestScore = m.id, s
		}
		if m.id != self && s > otherScore {
			other, otherScore = m.id, s
		}
	}
	if other.IsZero() && best == self { // alone in its data centre
		for i := range r.all {
			m := &r.all[i]
			if s := score(m.hash, ep.hash, m.weight); m.id != self && s > otherScore {
				other, otherScore = m.id, s
			}
		}
	}
	return best, other
}
