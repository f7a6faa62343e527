package fuzz

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/standin/fake"
)

const (
	storeDelay   = 2 * time.Millisecond   // of an answer of the platform's store
	storeTimeout = 600 * time.Millisecond // after which a call without an answer counts as failed
	storeLate    = 3 * time.Second        // after which a write is carried out that got no answer
)

// cancelStore is what the platform's store keeps of cancellations, and counts of the calls.
type cancelStore struct {
	stored        map[cornelwall.Incarnation]storedCancels
	writes, reads int
}

// storedCancels is the last record of an entry.
type storedCancels struct {
	number uint64
	list   []cornelwall.Cancellation
}

// handleStoreCall carries out the calls of a host to the platform's store. Every second write that gets no answer is
// carried out late, if none has been since: writes are under a condition.
func (r *rig) handleStoreCall(h *fake.Host, cmd cornelwall.Command) {
	lost := r.storeLost(h)
	after := storeDelay
	if lost {
		after = storeTimeout
	}
	switch cmd := cmd.(type) {
	case cornelwall.StoreCancellations:
		r.cancelStore.writes++
		write := func() {
			if cmd.Number > r.cancelStore.stored[h.Self].number {
				r.cancelStore.stored[h.Self] = storedCancels{cmd.Number, cmd.List}
			}
		}
		switch {
		case !lost:
			write()
		case r.cancelStore.writes%2 == 0:
			r.w.CallAfter(storeLate, write)
		}
		r.w.PostAfter(after, h, cornelwall.CancellationsStored{Number: cmd.Number, Done: !lost})
	case cornelwall.ReadCancellations:
		r.cancelStore.reads++
		ev := cornelwall.CancellationsRead{Round: cmd.Round, Done: !lost}
		if !lost && !r.mutation.blindCatchUp && !r.mutation.blindReads && !r.mutation.hideOutage {
			for _, id := range slices.SortedFunc(maps.Keys(r.cancelStore.stored), cornelwall.Incarnation.Compare) {
				ev.List = append(ev.List, r.cancelStore.stored[id].list...)
			}
		}
		r.w.PostAfter(after, h, ev)
	}
}

// storeLost reports whether a host gets no answer of the platform's store.
func (r *rig) storeLost(h *fake.Host) bool {
	cut := slices.ContainsFunc(r.entries, func(e *entry) bool { return e.host == h && e.platformCut })
	return (cut || !r.platformUp) && !r.mutation.hideOutage
}

// powerOffAll lets all entries lose power at the same time, often right after a cancellation was acknowledged, and starts them again.
func (r *rig) powerOffAll() {
	for _, e := range r.entries {
		if e.up() {
			r.kill(e, true)
		}
	}
	r.w.CallAfter(time.Second, func() {
		for _, e := range r.entries {
			if !e.up() {
				r.start(e)
			}
		}
	})
}

// cancelAndPowerOff cancels batches, and lets all entries lose power soon after.
func (r *rig) cancelAndPowerOff() {
	r.cancelBatches()
	r.w.CallAfter(time.Duration(r.rng.IntN(20))*time.Millisecond, r.powerOffAll)
}

// powerLosses are histories in which all entries lose power at the same time.
var powerLosses = []action{
	(*rig).submitChain, (*rig).submitChain, (*rig).submitChain, (*rig).submitChain, (*rig).cancelBatches, (*rig).cancelAndPowerOff,
	(*rig).freeze, (*rig).thaw, (*rig).thaw, (*rig).cutEntryFromPlatform, (*rig).restorePlatform, (*rig).losePlatform, (*rig).restorePlatform, (*rig).restorePlatform,
	func(r *rig) { r.w.Advance(time.Second) }, func(r *rig) { r.w.Advance(2 * time.Second) },
}
