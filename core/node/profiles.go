package node

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

const inspectTimeout = 2 * time.Second

// inspect is an operator's question to all entries.
type inspect struct {
	force []cornelwall.ProfileStatus
	until time.Time
}

// stale reports whether this entry has had no fresh word of the profiles.
func (n *Node) stale() bool {
	return n.freshAt.IsZero() || n.now.Sub(n.freshAt) > n.cfg.StaleAfter
}

// passesOn reports whether this entry's heartbeats keep others fresh. Only the
// platform's own word counts, or entries would keep each other fresh for ever.
func (n *Node) passesOn() bool {
	return n.watching && !n.toldAt.IsZero() && n.now.Sub(n.toldAt) <= n.cfg.StaleAfter
}

// watched takes word from the platform's service.
func (n *Node) watched(ev cornelwall.WatchUpdate) {
	n.freshAt, n.toldAt = n.now, n.now
	if ev.All {
		n.checkAge(ev.Profiles)
	}
	n.merge(ev.Profiles, n.cfg.Self)
}

// behind is a profile of which the platform's service holds less than this entry knows.
type behind struct {
	version uint64 // that this entry knows
	reads   int    // in a row that have shown it
}

// alarmReads is the reads in a row after which the alarm is raised: one may have begun
// before a change that this entry has just accepted.
const alarmReads = 2

// checkAge raises an alarm, once for each version, if the service holds less than this
// entry knows.
func (n *Node) checkAge(all []cornelwall.Profile) {
	held := make(map[string]uint64, len(all))
	for _, p := range all {
		held[p.Name] = p.Version
	}
	older := map[string]behind{}
	for _, p := range n.catalog.All() {
		if held[p.Name] >= p.Version {
			continue
		}
		b := behind{version: p.Version, reads: 1}
		if last := n.behind[p.Name]; last.version == p.Version {
			b.reads += last.reads
		}
		older[p.Name] = b
		if b.reads == alarmReads {
			n.log("store-older", "profile", p.Name, "known", p.Version, "held", held[p.Name],
				"remedy", "the store went back in time; apply the profiles again from version control")
		}
	}
	n.behind = older
}

// merge takes over newer profiles and passes on what is new. What came from a peer of
// this data centre has been passed on by that peer.
func (n *Node) merge(ps []cornelwall.Profile, from cornelwall.Incarnation) {
	var changed []cornelwall.Profile
	for _, p := range ps {
		if n.catalog.Merge(p) {
			changed = append(changed, p)
			n.log("profile-in-force", "profile", p.Name, "version", p.Version, "retired", p.Retired)
		}
	}
	if len(changed) == 0 || (from != n.cfg.Self && from.DataCentre == n.cfg.Self.DataCentre) {
		return
	}
	for _, p := range n.members.Alive(n.now) {
		if p.Incarnation != from {
			n.sendProfiles(p.Incarnation, changed)
		}
	}
}

func (n *Node) sendProfiles(to cornelwall.Incarnation, ps []cornelwall.Profile) {
	if len(ps) > 0 {
		n.send(to, cornelwall.Message{Profiles: &cornelwall.Profiles{Profiles: ps}})
	}
}

// electWatcher decides whether this entry watches the platform's service: the first
// entry of the data centre does, and any other while it hears of no fresh word.
func (n *Node) electWatcher() {
	homes := n.members.Homes(n.now, n.leaving)
	first := len(homes) > 0 && slices.MinFunc(homes, cornelwall.Incarnation.Compare) == n.cfg.Self
	on := first || n.stale()
	if on == n.watching {
		return
	}
	n.watching = on
	n.emit(cornelwall.SetWatch{On: on})
	n.log("watch", "on", on)
}

// inspect asks every entry that is known, near or not, for the version of a profile in
// force. Operators ask seldom, so that this may grow with the number of entries.
func (n *Node) inspect(ev cornelwall.FetchProfileStatus) {
	in := &inspect{force: []cornelwall.ProfileStatus{n.force(ev.Name)}, until: n.now.Add(inspectTimeout)}
	for _, p := range n.members.All(n.now) {
		in.force = append(in.force, cornelwall.ProfileStatus{Entry: p.Incarnation, Missing: true})
		n.send(p.Incarnation, cornelwall.Message{VersionQuery: &cornelwall.VersionQuery{Req: ev.Req, Name: ev.Name}})
	}
	n.inspects[ev.Req] = in
	n.endInspects()
}

func (n *Node) force(name string) cornelwall.ProfileStatus {
	p, _ := n.catalog.Last(name)
	return cornelwall.ProfileStatus{Entry: n.cfg.Self, Version: p.Version, Retired: p.Retired, Stale: n.stale()}
}

// told answers a peer's question.
func (n *Node) told(from cornelwall.Incarnation, ask *cornelwall.VersionQuery) {
	n.send(from, cornelwall.Message{VersionReply: &cornelwall.VersionReply{Req: ask.Req, Status: n.force(ask.Name)}})
}

// collect takes a peer's answer.
func (n *Node) collect(t *cornelwall.VersionReply) {
	in := n.inspects[t.Req]
	if in == nil {
		return
	}
	for i := range in.force {
		if in.force[i].Missing && in.force[i].Entry.SameEntry(t.Status.Entry) {
			in.force[i] = t.Status
		}
	}
	n.endInspects()
}

// endInspects answers the operators whose entries have all answered, or have had the
// time to.
func (n *Node) endInspects() {
	for req, in := range n.inspects {
		missing := slices.ContainsFunc(in.force, func(f cornelwall.ProfileStatus) bool { return f.Missing })
		if missing && n.now.Before(in.until) {
			continue
		}
		delete(n.inspects, req)
		slices.SortFunc(in.force, func(a, b cornelwall.ProfileStatus) int {
			return cmp.Or(a.Entry.Compare(b.Entry), cmp.Compare(a.Version, b.Version))
		})
		n.emit(cornelwall.ReplyProfileStatus{Req: req, Entries: in.force})
	}
}
