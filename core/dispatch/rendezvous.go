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

// score returns the score of an entry for a key by weighted rendezvous hashing: the entry with
// the greatest score wins, with a probability in proportion to its weight.
func score(entry, key uint64, weight int) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], entry)
	binary.LittleEndian.PutUint64(b[8:], key)
	u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
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
	all      []member
	byCentre map[string][]member
	isReader bool   // this entry reads the list of endpoints
	digest   uint64 // of all
}

func newRanking(all []member, self cornelwall.Incarnation) ranking {
	r := ranking{all: all, byCentre: map[string][]member{}}
	for _, m := range all {
		r.byCentre[m.id.DataCentre] = append(r.byCentre[m.id.DataCentre], m)
	}
	r.isReader = r.isListReader(self)
	return r
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

// isListReader reports whether an entry is one of those of its data centre that read the list of
// endpoints: the entries with the greatest weights.
func (r *ranking) isListReader(id cornelwall.Incarnation) bool {
	list := slices.Clone(r.byCentre[id.DataCentre])
	slices.SortFunc(list, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.hash, b.hash))
	})
	if len(list) > readersPerCentre {
		list = list[:readersPerCentre]
	}
	return slices.ContainsFunc(list, func(m member) bool { return m.id == id })
}
