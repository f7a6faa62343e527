package fuzz

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"cornelwall"
	"cornelwall/standin/fake"
)

const (
	configQueues   = 1400
	firstConfig    = 2 // version of the first configuration of that size
	lastConfig     = 13
	configInterval = 2500 * time.Millisecond // between two versions
	cutTime        = 8 * time.Second         // for which half of the entries are cut off from the platform
	firstCutAt     = 5 * time.Second
	secondCutAt    = 18 * time.Second
	killAt         = 20150 * time.Millisecond // while entries pass on a version that is new since 150 ms
	killedEntries  = 2                        // of those that are cut off from the platform, and as many others
	restartTime    = 300 * time.Millisecond
	configApply    = 3 * time.Second // from the acknowledgement of a change until it is in force
	configApplyCut = 9 * time.Second // the same at an entry that is cut off from the platform and hears a peer
	hearTime       = time.Second     // for which a peer counts as heard after a heartbeat
	maxCrossings   = 3               // of a version over a link of an entry
	rounding       = 1e-6            // of crossings
	batchRate      = 4               // batches per second and entry
	batchInterval  = 100 * time.Millisecond
	probeInterval  = 100 * time.Millisecond // between two probes of an entry
)

// configHistory is a fleet on thin links whose configuration changes all the while, also while half of
// the entries are cut off from the platform.
type configHistory struct {
	*rig
	configFleet
	ackedAt  map[uint64]time.Time  // when each version was acknowledged
	probes   map[uint64]lag        // by request
	inForce  map[*fake.Host]uint64 // latest version that a probe has found
	late     map[lag]bool
	maxHeard int // the most peers that an entry has heard within hearTime
}

// lag is a version that is not in force at a host.
type lag struct {
	host    *fake.Host
	version uint64
}

// play plays the history of the fleet.
func (f configFleet) play() *configHistory {
	r := newSizedRig(f.seed, mutation{}, 0, size{entries: f.entries, endpoints: f.entries * 15 / 2, dataCentres: 3, seeds: 3})
	r.w.Advance(time.Second)
	r.thinLinks = newThinLinks(r, f.wholeLists)
	h := &configHistory{rig: r, configFleet: f, ackedAt: map[uint64]time.Time{}, probes: map[uint64]lag{}, inForce: map[*fake.Host]uint64{}, late: map[lag]bool{}}
	r.w.OnOutput = h.handleOutput
	h.submitAllTheWhile()
	r.w.Advance(2 * time.Second)
	h.probeAllTheWhile()
	for v := uint64(firstConfig); v <= lastConfig; v++ {
		r.w.CallAfter(time.Duration(v-firstConfig)*configInterval, func() { h.publish(v) })
	}
	r.w.CallAfter(firstCutAt, h.cutHalf)
	r.w.CallAfter(secondCutAt, h.cutHalf)
	r.w.CallAfter(killAt, h.killSome)
	r.w.Advance((lastConfig-firstConfig)*configInterval + configApply)
	return h
}

// publish publishes a version of the configuration, which has one queue more than the version before.
func (h *configHistory) publish(version uint64) {
	cfg := &cornelwall.QueueConfig{Version: version, Queues: []cornelwall.Queue{h.queue()}}
	for i := range configQueues + int(version) {
		q := h.queue()
		q.Name, q.Prefix = fmt.Sprintf("queue-%04d", i), queuePrefix(i)
		cfg.Queues = append(cfg.Queues, q)
	}
	h.ackedAt[version] = h.w.Now
	h.thinLinks.publish(cfg)
}

// queuePrefix returns the prefix of a queue beside that of the clients.
func queuePrefix(i int) string { return fmt.Sprintf("/queue-%04d/", i) }

// cutHalf cuts half of the entries off from the platform for cutTime.
func (h *configHistory) cutHalf() {
	var cut []*entry
	for _, i := range h.rng.Perm(len(h.rig.entries))[:len(h.rig.entries)/2] {
		h.rig.entries[i].platformCut = true
		cut = append(cut, h.rig.entries[i])
	}
	h.w.CallAfter(cutTime, func() {
		for _, e := range cut {
			e.platformCut = false
			h.w.CallAfter(time.Duration(h.rng.Int64N(int64(maxListBackoff))), h.thinLinks.ports[e.addr].reader.read)
		}
	})
}

// killSome kills and restarts entries that are cut off from the platform and others.
func (h *configHistory) killSome() {
	killed := map[bool]int{}
	for _, e := range h.rig.entries {
		if killed[e.platformCut]++; killed[e.platformCut] > killedEntries {
			continue
		}
		h.kill(e, false)
		h.w.CallAfter(restartTime, func() {
			h.start(e)
			h.thinLinks.ports[e.addr].reader.read()
		})
	}
}

// submitAllTheWhile submits batches, so that links between entries are in use.
func (h *configHistory) submitAllTheWhile() {
	h.w.CallAfter(batchInterval, h.submitAllTheWhile)
	for range max(1, int(batchRate*batchInterval.Seconds()*float64(len(h.rig.entries)))) {
		h.submit()
	}
}

// probeAllTheWhile probes the entries, and records which versions are late at those that hear a peer.
func (h *configHistory) probeAllTheWhile() {
	h.w.CallAfter(probeInterval, h.probeAllTheWhile)
	for _, e := range h.rig.entries {
		if !e.up() {
			continue
		}
		h.probe(e)
		if n := h.heardPeers(e); n > 0 {
			h.maxHeard = max(h.maxHeard, n)
			h.checkLate(e)
		}
	}
}

// heardPeers returns how many peers an entry has heard within hearTime.
func (h *configHistory) heardPeers(e *entry) int {
	n := 0
	for _, at := range h.thinLinks.ports[e.addr].heardAt {
		if h.w.Now.Sub(at) <= hearTime {
			n++
		}
	}
	return n
}

// probe asks an entry for the queues that the version in force and the later ones have added.
func (h *configHistory) probe(e *entry) {
	for v := max(h.inForce[e.host], firstConfig); !h.ackedAt[v].IsZero(); v++ {
		h.nextReq++
		h.probes[h.nextReq] = lag{e.host, v}
		h.w.Post(e.host, cornelwall.CountWaiting{Req: h.nextReq, Host: host, Path: queuePrefix(configQueues + int(v) - 1)})
	}
}

// handleOutput handles the output of the cores, of which the answers to probes are not for the rig.
func (h *configHistory) handleOutput(host *fake.Host, cmd cornelwall.Command) {
	reply, ok := cmd.(cornelwall.ReplyWaiting)
	if !ok {
		h.rig.handleOutput(host, cmd)
		return
	}
	p := h.probes[reply.Req]
	delete(h.probes, reply.Req)
	switch {
	case reply.Found:
		h.inForce[p.host] = max(h.inForce[p.host], p.version)
	case p.version == h.inForce[p.host]:
		h.fail("%s has gone back from version %d", p.host.Self.Entry, p.version)
	}
}

// checkLate records which versions are not in force configApplyCut after their acknowledgement, and after the
// start of the entry.
func (h *configHistory) checkLate(e *entry) {
	startedAt := time.UnixMilli(int64(e.host.Self.Epoch >> 8))
	for v := max(h.inForce[e.host]+1, firstConfig); !h.ackedAt[v].IsZero(); v++ {
		if h.w.Now.Sub(h.ackedAt[v]) > configApplyCut && h.w.Now.Sub(startedAt) > configApplyCut {
			h.late[lag{e.host, v}] = true
		}
	}
}

// behind returns the entries where the last version is not in force.
func (h *configHistory) behind() []string {
	var names []string
	for _, e := range h.rig.entries {
		if h.inForce[e.host] < lastConfig {
			names = append(names, fmt.Sprintf("%s at %d", e.name, h.inForce[e.host]))
		}
	}
	return names
}

// crossings returns the most often that a version has come in at an entry, and that a version has gone out
// from an entry, on average over the versions.
func (h *configHistory) crossings() (in, out float64) {
	for _, p := range h.thinLinks.ports {
		for _, n := range p.in {
			in = max(in, n)
		}
		out = max(out, p.out/(lastConfig-firstConfig+1))
	}
	return in, out
}

// lateVersions returns the versions that were late, by entry.
func (h *configHistory) lateVersions() []string {
	var late []string
	for l := range h.late {
		late = append(late, fmt.Sprintf("%d at %s", l.version, l.host.Self.Entry))
	}
	slices.Sort(late)
	return late
}

// String returns the fleet and the figures of its history.
func (h *configHistory) String() string {
	in, out := h.crossings()
	return fmt.Sprintf("%+v %+v in:%.1f out:%.1f peers:%d runs:%d answers:%v", h.configFleet, h.thinLinks.thinLinkCounts, in, out, h.maxHeard, h.runs, h.answers)
}

// configFleet is a fleet whose configHistory is played.
type configFleet struct {
	entries    int
	seed       uint64
	wholeLists bool // a list of the store that has not arrived in time begins anew
}

var configFleets = []configFleet{
	{8, 17, true}, {8, 19, true}, {8, 20, true}, {8, 10, false}, {30, 2, true}, {30, 0, false},
}

var configEntries = flag.Int("entries", 0, "entries of the only fleet, of seed 1, that the tests of the configuration play; 0 for several small ones")

// playConfigFleets plays the histories that the tests of the configuration check.
var playConfigFleets = sync.OnceValue(func() []*configHistory {
	if *configEntries > 0 {
		return []*configHistory{configFleet{*configEntries, 1, true}.play()}
	}
	played := make([]*configHistory, len(configFleets))
	var wg sync.WaitGroup
	for i, f := range configFleets {
		wg.Go(func() { played[i] = f.play() })
	}
	wg.Wait()
	return played
})

// TestEntryBehindOnConfigCatchesUpOverThinLinks checks that every version gets into force in time at all entries, also
// at those that are cut off from the platform and at those that start without it.
func TestEntryBehindOnConfigCatchesUpOverThinLinks(t *testing.T) {
	for _, h := range playConfigFleets() {
		t.Log(h)
		if behind := h.behind(); len(behind) > 0 || len(h.late) > 0 || h.failure != "" {
			t.Errorf("%s: behind on version %d at the end: %v; late: %v; %s", h, lastConfig, behind, h.lateVersions(), h.failure)
		}
	}
}

// TestConfigCrossesEachLinkFewTimes checks that the bytes for one version don't grow with the peers of an entry.
func TestConfigCrossesEachLinkFewTimes(t *testing.T) {
	for _, h := range playConfigFleets() {
		if in, out := h.crossings(); max(in, out) > maxCrossings+rounding {
			t.Errorf("%s: a version came in %.1f times at an entry, and an entry sent each version %.1f times on average", h, in, out)
		}
	}
}

// TestConfigCrowdsOutNoOtherMessage checks that no envelope is lost beside those that carry a configuration.
func TestConfigCrowdsOutNoOtherMessage(t *testing.T) {
	for _, h := range playConfigFleets() {
		if n := h.thinLinks.lostWithoutConfig; n > 0 {
			t.Errorf("%s: %d envelopes without a configuration were lost: %s", h, n, h.thinLinks.lostMessages.table(1))
		}
	}
}
