package fuzz

import (
	"math"
	"testing"
	"time"

	"cornelwall"
	"cornelwall/standin/fake"
	"cornelwall/standin/leased"
)

const (
	roomHistories = 30
	roomPosts     = 50 * time.Millisecond
	// smallestRoom is that of an endpoint that has shrunk most: too small for any task.
	smallestRoom = 5000
)

// room is the capacity of an endpoint that does not guard it.
type room struct {
	changes []roomChange // by time
	givers  map[cornelwall.RunID]*fake.Host
}

// roomChange is a number of cores that an endpoint reports from a time on, in thousandths.
type roomChange struct {
	at    time.Time
	cores int
}

// cores returns the cores that the endpoint reports now.
func (m *room) cores() int { return m.changes[len(m.changes)-1].cores }

// largestSince returns the most cores that the endpoint has reported since a time.
func (m *room) largestSince(at time.Time) int {
	largest := 0
	for i := len(m.changes) - 1; i >= 0; i-- {
		largest = max(largest, m.changes[i].cores)
		if !m.changes[i].at.After(at) {
			break
		}
	}
	return largest
}

var rooms = []action{
	(*rig).submitWave, (*rig).submitWave, (*rig).submitWave, (*rig).submitWave, (*rig).submit, (*rig).submit,
	(*rig).changeRoom, (*rig).changeRoom, (*rig).changeRoom, (*rig).changeRoom, (*rig).dropCaller, (*rig).dropCaller,
	(*rig).cutEntryFromPlatform, (*rig).restorePlatform, (*rig).stopEntry, (*rig).killOne, (*rig).restartOne, (*rig).freeze, (*rig).thaw,
	(*rig).restartEndpoint, (*rig).cutEndpoint, (*rig).cutEndpointOneWay, (*rig).heal,
}

// unguard makes all endpoints start whatever they are told to.
func (r *rig) unguard() {
	r.rooms = map[string]*room{}
	for _, ep := range r.endpoints {
		r.rooms[ep.ID] = &room{changes: []roomChange{{r.w.Now, ep.Capacity.Cores}}, givers: map[cornelwall.RunID]*fake.Host{}}
		ep.Capacity = cornelwall.Resources{Cores: math.MaxInt32, Memory: math.MaxInt32}
	}
}

// changeRoom shrinks an endpoint that has its full capacity, and lets another grow again.
func (r *rig) changeRoom() {
	m := r.rooms[r.anyEndpoint()]
	cores := endpointCapacity.Cores
	if m.cores() == cores {
		cores = smallestRoom + r.rng.IntN(cores-smallestRoom)
	}
	m.changes = append(m.changes, roomChange{r.w.Now, cores})
}

// listedCapacity returns the capacity that an endpoint reports to the platform.
func (r *rig) listedCapacity(ep *leased.Endpoint) cornelwall.Resources {
	m := r.rooms[ep.ID]
	if m == nil {
		return ep.Capacity
	}
	capacity := endpointCapacity
	capacity.Cores = m.cores()
	return capacity
}

// recordGiver records which entry orders a start.
func (r *rig) recordGiver(h *fake.Host, cmd cornelwall.Command) {
	start, ok := cmd.(cornelwall.StartRun)
	if m := r.rooms[start.Endpoint.ID]; ok && m != nil {
		m.givers[start.Run] = h
	}
}

// checkRoom checks that a start on the order of an entry in touch does not bring an endpoint over the
// capacity that it has reported for inTouchTime and one more of the platform's lists.
func (r *rig) checkRoom(ep *leased.Endpoint, id cornelwall.RunID) {
	m := r.rooms[ep.ID]
	if m == nil {
		return
	}
	used := 0
	for _, run := range ep.Running(r.w.Now) {
		used += ep.NeedOf(run.Task).Cores
	}
	most := m.largestSince(r.w.Now.Add(-inTouchTime - r.postInterval))
	for _, e := range r.entries {
		if e.host == m.givers[id] && r.inTouch(e) && used > most {
			r.fail("%s starts run %d of %s at %s and brings it to %d of %d", e.name, id.Run, id.Task, ep.ID, used, most)
		}
	}
}

// runRooms runs the history of a seed in which endpoints shrink and grow.
func runRooms(seed uint64, mut mutation) *rig {
	r := newSizedRig(seed, mut, -int(seed%2), size{entries: 8, endpoints: 8, dataCentres: 2})
	r.postInterval = roomPosts
	r.unguard()
	return r.play(rooms)
}

// TestNothingStartsOverShrunkRoom runs histories in which endpoints that don't guard their capacity
// shrink and grow while entries lose the platform, stop or freeze and callers leave.
func TestNothingStartsOverShrunkRoom(t *testing.T) {
	t.Parallel()
	for s := range uint64(roomHistories) {
		if r := runRooms(s, mutation{}); r.failure != "" {
			t.Errorf("seed %d: %s", s, r.failure)
		}
	}
}

// TestLateNewsOfShrunkRoomIsDetected shows that TestNothingStartsOverShrunkRoom detects entries that
// read the list too rarely.
func TestLateNewsOfShrunkRoomIsDetected(t *testing.T) {
	t.Parallel()
	checkDetected(t, 0, func(seed uint64) *rig { return runRooms(seed, mutation{rareReads: true}) })
}
