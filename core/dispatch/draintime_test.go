package dispatch

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

const (
	fleetStep     = 20 * time.Millisecond  // of the virtual time
	fleetReadTime = 30 * time.Millisecond  // from a read of the list to its result
	fleetTimeout  = 600 * time.Millisecond // of a read without an answer
)

// listFleet is the entries of one data centre that read the list of one endpoint from a platform.
// Some of them may be cut off from it. Messages between entries arrive at once.
type listFleet struct {
	now      time.Time
	cores    []*Core
	byID     map[cornelwall.Incarnation]int
	every    []time.Duration // interval of reads, as ordered
	nextRead []time.Time
	failedAt []time.Time // first failed read since the last answer
	cut      []bool
	endpoint cornelwall.Endpoint
	rev      int64
	reads    int
	updates  int // EndpointUpdates sent
	pending  []fleetCall
}

type fleetCall struct {
	at time.Time
	do func()
}

func newListFleet(n int, drain time.Duration) *listFleet {
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	f := &listFleet{
		now: time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC), byID: map[cornelwall.Incarnation]int{}, rev: 1,
		every: make([]time.Duration, n), nextRead: make([]time.Time, n), failedAt: make([]time.Time, n), cut: make([]bool, n),
		endpoint: cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}},
	}
	for i := range n {
		id := cornelwall.Incarnation{DataCentre: "dc0", Entry: fmt.Sprintf("e%d", i), Epoch: 1}
		f.byID[id] = i
		f.cores = append(f.cores, New(Config{Self: id, Addr: addr, Limits: Limits{MaxLease: time.Second, DrainTime: drain}}, f.now))
	}
	return f
}

// step handles an event at an entry, and what the entry does because of it.
func (f *listFleet) step(i int, ev cornelwall.Event) {
	for _, cmd := range f.cores[i].Step(f.now, ev) {
		switch cmd := cmd.(type) {
		case cornelwall.ReadEndpoints:
			f.every[i] = cmd.Every
			if cmd.Now || f.nextRead[i].After(f.now.Add(cmd.Every)) {
				f.nextRead[i] = f.now
			}
		case cornelwall.Send:
			if cmd.Message.EndpointUpdate != nil {
				f.updates++
			}
			to, from := f.byID[cmd.To], f.cores[i].cfg.Self
			f.pending = append(f.pending, fleetCall{f.now, func() {
				f.step(to, cornelwall.Receive{Envelope: cornelwall.Envelope{From: from, To: cmd.To, Messages: []cornelwall.Message{cmd.Message}}})
			}})
		}
	}
}

// advance lets time pass.
func (f *listFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(fleetStep)
		for i := range f.cores {
			f.step(i, cornelwall.Tick{})
			if !f.now.Before(f.nextRead[i]) {
				f.read(i)
			}
		}
		f.runPending()
	}
}

// runPending makes the calls that are due, in order.
func (f *listFleet) runPending() {
	isDue := func(c fleetCall) bool { return !c.at.After(f.now) }
	for i := slices.IndexFunc(f.pending, isDue); i >= 0; i = slices.IndexFunc(f.pending, isDue) {
		do := f.pending[i].do
		f.pending = slices.Delete(f.pending, i, i+1)
		do()
	}
}

// read reads the lists for an entry. The result arrives after fleetReadTime.
func (f *listFleet) read(i int) {
	if f.cut[i] {
		if f.failedAt[i].IsZero() {
			f.failedAt[i] = f.now
		}
		if f.now.Sub(f.failedAt[i]) > time.Second {
			f.step(i, cornelwall.PlatformLost{})
		}
		f.nextRead[i] = f.now.Add(fleetTimeout)
		return
	}
	f.failedAt[i] = time.Time{}
	f.reads++
	f.nextRead[i] = f.now.Add(fleetReadTime + f.every[i])
	var members []cornelwall.Member
	for j := range f.cores {
		members = append(members, cornelwall.Member{ID: f.cores[j].cfg.Self, Addr: f.endpoint.Addr})
	}
	list, rev, asOf := []cornelwall.Endpoint{f.endpoint}, f.rev, f.now
	f.pending = append(f.pending, fleetCall{f.now.Add(fleetReadTime), func() {
		f.step(i, cornelwall.MembersListed{List: members})
		f.step(i, cornelwall.EndpointsListed{List: list, Revision: rev, AsOf: asOf})
	}})
}

// cutReaders cuts the first k entries of the read order off from the platform.
func (f *listFleet) cutReaders(k int) {
	for _, id := range f.cores[0].ranking.readOrder[:k] {
		f.cut[f.byID[id]] = true
	}
}

// TestDrainIsKnownInTimeWithoutReaders cuts entries that read the list for their data centre off from
// the platform when an endpoint reports that it leaves. The others could reach the platform but waited
// 3 to 4 s for their readers, and started tasks there beyond the endpoint's drain time.
func TestDrainIsKnownInTimeWithoutReaders(t *testing.T) {
	for _, drain := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		for _, n := range []int{2, 4, 12} {
			for _, cut := range []int{0, 2, n / 2} {
				t.Run(fmt.Sprintf("%s, %d of %d", drain, cut, n), func(t *testing.T) {
					for offset := time.Duration(0); offset < time.Second; offset += 450 * time.Millisecond {
						f := newListFleet(n, drain)
						f.advance(3*time.Second + offset)
						f.cutReaders(min(cut, n))
						f.rev++
						f.endpoint.Leaving = true
						f.advance(drain)
						for i, c := range f.cores {
							assert.Assert(t, f.cut[i] || c.endpoints["x1"].Leaving, "entry %d of %d does not know of the drain after %s", i, n, drain)
						}
					}
				})
			}
		}
	}
}

// TestReadsWithoutReadersDoNotGrowWithFleet cuts the readers of a data centre off for longer. Two or
// so of the other entries have to take their place, and not all of them: beyond the backup read of
// each entry, the reads must not grow with the number of entries.
func TestReadsWithoutReadersDoNotGrowWithFleet(t *testing.T) {
	for _, n := range []int{8, 30} {
		f := newListFleet(n, 2*time.Second)
		f.advance(5 * time.Second)
		f.cutReaders(readersPerCentre)
		f.advance(3 * time.Second)
		reads, updates := f.reads, f.updates
		f.advance(10 * time.Second)
		t.Logf("%d entries: %d reads and %d updates in 10 s", n, f.reads-reads, f.updates-updates)
		assert.Assert(t, f.reads-reads <= n+2*10, "%d entries read %d times in 10 s", n, f.reads-reads)
	}
}

// TestAgeOfUpdates gives an entry updates of its readers that show the list as it was some time ago, or
// that waited while its process was paused. Such an update must not count as new: the entry would
// wait for the next one while it could read the list itself.
func TestAgeOfUpdates(t *testing.T) {
	for _, tc := range []struct {
		name   string
		age    time.Duration // of the sender's list
		paused bool          // the process, before the update is read
		reads  bool          // the entry has to read the list
	}{
		{"new", 0, false, false},
		{"old", 1400 * time.Millisecond, false, true},
		{"read after a pause", 0, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newListFleet(4, 2*time.Second)
			f.advance(3 * time.Second)
			order := f.cores[0].ranking.readOrder
			reader, other := order[0], f.byID[order[2]]
			c := f.cores[other]
			f.cutReaders(readersPerCentre)
			for f.now.Sub(c.toldAt) < c.readerTimeout()-2*tickInterval {
				f.advance(fleetStep)
			}
			update := cornelwall.Receive{Envelope: cornelwall.Envelope{From: reader, To: order[2], Messages: []cornelwall.Message{
				{EndpointUpdate: &cornelwall.EndpointUpdate{FromRevision: f.rev, ToRevision: f.rev, Age: tc.age}},
			}}}
			if tc.paused {
				f.now = f.now.Add(pauseThreshold + tickInterval)
			}
			f.step(other, update)
			f.advance(3 * tickInterval)
			assert.Equal(t, c.readInterval == c.listInterval(), tc.reads)
		})
	}
}
