package fuzz

import (
	"testing"
	"time"

	"cornelwall"
	"cornelwall/standin/fake"
)

const (
	drainTime        = 2 * time.Second // default of dispatch.Limits.DrainTime
	lingerTime       = 6 * time.Second // for which an endpoint that leaves serves on
	inTouchTime      = 3 * time.Second // without disturbance, after which an entry counts as in touch
	drainPosts       = 50 * time.Millisecond
	rareReadInterval = 4 * time.Second
	drainHistories   = 30
)

// drain is an endpoint that has reported that it leaves.
type drain struct {
	readAt time.Time // when the first entry in touch was sent that; zero if none was
}

var drains = []action{
	(*rig).submitWave, (*rig).submitWave, (*rig).submitWave, (*rig).submitWave, (*rig).submit, (*rig).submit, (*rig).drainEndpoint, (*rig).cutReadersFromPlatform, (*rig).restorePlatform,
	(*rig).cutEntryFromPlatform, (*rig).killOne, (*rig).restartOne, (*rig).freeze, (*rig).thaw,
}

// cutReadersFromPlatform cuts the entries of a data centre that read the list often off from the
// platform while an endpoint reports that it leaves. The entries of the other one learn of it at once.
func (r *rig) cutReadersFromPlatform() {
	dc := r.anyEntry().dc
	for _, e := range r.entries {
		if e.dc == dc && e.readInterval <= time.Second {
			e.platformCut = true
		}
	}
	r.drainEndpoint()
}

// drainEndpoint lets an endpoint report that it leaves. It serves on for lingerTime and comes back as
// another boot.
func (r *rig) drainEndpoint() {
	ep := r.endpoint(r.anyEndpoint())
	if r.drains[ep.ID] != nil {
		return
	}
	r.drains[ep.ID] = &drain{}
	r.w.CallAfter(lingerTime, func() {
		delete(r.drains, ep.ID)
		ep.Restart(r.w.Now)
	})
}

func (r *rig) inTouch(e *entry) bool { return r.w.Now.Sub(e.disturbedAt) >= inTouchTime }

// recordDrainsRead records that an entry is sent the list of endpoints.
func (r *rig) recordDrainsRead(e *entry) {
	for _, d := range r.drains {
		if d.readAt.IsZero() && r.inTouch(e) {
			d.readAt = r.w.Now
		}
	}
}

// checkDrain checks that no entry in touch orders a start at an endpoint later than drainTime after an
// entry in touch was sent that it leaves.
func (r *rig) checkDrain(h *fake.Host, cmd cornelwall.Command) {
	start, ok := cmd.(cornelwall.StartRun)
	if !ok {
		return
	}
	d := r.drains[start.Endpoint.ID]
	if d == nil || d.readAt.IsZero() || r.w.Now.Sub(d.readAt) <= drainTime {
		return
	}
	for _, e := range r.entries {
		if e.host == h && r.inTouch(e) {
			r.fail("%s orders a start at %s %s after an entry in touch was sent that it leaves", e.name, start.Endpoint.ID, r.w.Now.Sub(d.readAt))
		}
	}
}

// runDrains runs the history of a seed on two data centres, in each of which two of four entries read the
// list for the others.
func runDrains(seed uint64, mut mutation) *rig {
	r := newSizedRig(seed, mut, -int(seed%2), size{entries: 8, endpoints: 8, dataCentres: 2})
	r.postInterval = drainPosts
	return r.play(drains)
}

// TestNothingStartsOnDrainedEndpoint runs histories in which endpoints leave while entries lose the
// platform, stop or freeze. An entry in touch must not order starts at an endpoint beyond its drain time, whoever
// reads the list for it.
func TestNothingStartsOnDrainedEndpoint(t *testing.T) {
	t.Parallel()
	for s := range uint64(drainHistories) {
		if r := runDrains(s, mutation{}); r.failure != "" {
			t.Errorf("seed %d: %s", s, r.failure)
		}
	}
}

// TestRareReadsAreDetected shows that TestNothingStartsOnDrainedEndpoint detects entries that read the
// list too rarely.
func TestRareReadsAreDetected(t *testing.T) {
	t.Parallel()
	checkDetected(t, 0, func(seed uint64) *rig { return runDrains(seed, mutation{rareReads: true}) })
}
