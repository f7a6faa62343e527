package node

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

const statusQueryTimeout = 2 * time.Second

// statusQuery is an operator's question to all entries.
type statusQuery struct {
	entries  []cornelwall.ProfileStatus
	deadline time.Time
}

// stale reports whether this entry has had no fresh word of the profiles.
func (n *Node) stale() bool {
	return n.freshAt.IsZero() || n.now.Sub(n.freshAt) > n.cfg.StaleAfter
}

// vouchesForFreshness reports whether this entry's heartbeats keep others fresh. Only the
// platform's own word counts, or entries would keep each other fresh for ever.
func (n *Node) vouchesForFreshness() bool {
	return n.watching && !n.platformSeenAt.IsZero() && n.now.Sub(n.platformSeenAt) <= n.cfg.StaleAfter
}

// watchUpdate takes word from the platform's service.
func (n *Node) watchUpdate(ev cornelwall.WatchUpdate) {
	n.freshAt, n.platformSeenAt = n.now, n.now
	if ev.All {
		n.checkStoreLag(ev.Profiles)
	}
	n.mergeProfiles(ev.Profiles, n.cfg.Self)
}

// storeLag is a profile of which the platform's service holds less than this entry knows.
type storeLag struct {
	version uint64 // that this entry knows
	reads   int    // in a row that have shown it
}

// alarmReads is the reads in a row after which the alarm is raised: one may have begun
// before a change that this entry has just accepted.
const readsBeforeAlarm = 2

// checkStoreLag raises an alarm, once for each version, if the service holds less than this
// entry knows.
func (n *Node) checkStoreLag(all []cornelwall.Profile) {
	held := make(map[string]uint64, len(all))
	for _, p := range all {
		held[p.Name] = p.Version
	}
	older := map[string]storeLag{}
	for _, p := range n.catalog.All() {
		if held[p.Name] >= p.Version {
			continue
		}
		b := storeLag{version: p.Version, reads: 1}
		if last := n.storeLags[p.Name]; last.version == p.Version {
			b.reads += last.reads
		}
		older[p.Name] = b
		if b.reads == readsBeforeAlarm {
			n.log("store-older", "profile", p.Name, "known", p.Version, "held", held[p.Name],
				"remedy", "the store went back in time; apply the profiles again from version control")
		}
	}
	n.storeLags = older
}

// mergeProfiles takes over newer profiles and passes on what is new. What came from a peer of
// this data centre has been passed on by that peer.
func (n *Node) mergeProfiles(ps []cornelwall.Profile, from cornelwall.Incarnation) {
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
	homes := n.members.LocalActive(n.now, n.stopping)
	first := len(homes) > 0 && slices.MinFunc(homes, cornelwall.Incarnation.Compare) == n.cfg.Self
	on := first || n.stale()
	if on == n.watching {
		return
	}
	n.watching = on
	n.emit(cornelwall.SetWatch{On: on})
	n.log("watch", "on", on)
}

// fetchProfileStatus asks every entry that is known, near or not, for the version of a profile in
// force. Operators ask seldom, so that this may grow with the number of entries.
func (n *Node) fetchProfileStatus(ev cornelwall.FetchProfileStatus) {
	in := &statusQuery{entries: []cornelwall.ProfileStatus{n.profileStatus(ev.Name)}, deadline: n.now.Add(statusQueryTimeout)}
	for _, p := range n.members.All(n.now) {
		in.entries = append(in.entries, cornelwall.ProfileStatus{Entry: p.Incarnation, Missing: true})
		n.send(p.Incarnation, cornelwall.Message{VersionQuery: &cornelwall.VersionQuery{Req: ev.Req, Name: ev.Name}})
	}
	n.statusQueries[ev.Req] = in
	n.finishStatusQueries()
}

func (n *Node) profileStatus(name string) cornelwall.ProfileStatus {
	p, _ := n.catalog.Latest(name)
	return cornelwall.ProfileStatus{Entry: n.cfg.Self, Version: p.Version, Retired: p.Retired, Stale: n.stale()}
}

// answerVersionQuery answers a peer's question.
func (n *Node) answerVersionQuery(from cornelwall.Incarnation, ask *cornelwall.VersionQuery) {
	n.send(from, cornelwall.Message{VersionReply: &cornelwall.VersionReply{Req: ask.Req, Status: n.profileStatus(ask.Name)}})
}

// receiveVersionReply takes a peer's answer.
func (n *Node) receiveVersionReply(t *cornelwall.VersionReply) {
	in := n.statusQueries[t.Req]
	if in == nil {
		return
	}
	for i := range in.entries {
		if in.entries[i].Missing && in.entries[i].Entry.SameEntry(t.Status.Entry) {
			in.entries[i] = t.Status
		}
	}
	n.finishStatusQueries()
}

// finishStatusQueries answers the operators whose entries have all answered, or have had the
// time to.
func (n *Node) finishStatusQueries() {
	for req, in := range n.statusQueries {
		missing := slices.ContainsFunc(in.entries, func(f cornelwall.ProfileStatus) bool { return f.Missing })
		if missing && n.now.Before(in.deadline) {
			continue
		}
		delete(n.statusQueries, req)
		slices.SortFunc(in.entries, func(a, b cornelwall.ProfileStatus) int {
			return cmp.Or(a.Entry.Compare(b.Entry), cmp.Compare(a.Version, b.Version))
		})
		n.emit(cornelwall.ReplyProfileStatus{Req: req, Entries: in.entries})
	}
}
