package node

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

const statusQueryTimeout = 2 * time.Second

// statusQuery is an operator's query for the version of a profile at every entry.
type statusQuery struct {
	entries  []cornelwall.ProfileStatus
	deadline time.Time
}

// stale reports whether this entry has had no news from the platform within the last
// StaleAfter.
func (n *Node) stale() bool {
	return n.freshAt.IsZero() || n.now.Sub(n.freshAt) > n.cfg.StaleAfter
}

// reportsFreshness reports whether this entry's heartbeats make the profiles of its peers
// count as fresh. Only news from the platform itself counts; otherwise entries could keep
// each other's profiles fresh without the platform.
func (n *Node) reportsFreshness() bool {
	return n.watching && !n.platformSeenAt.IsZero() && n.now.Sub(n.platformSeenAt) <= n.cfg.StaleAfter
}

// watchUpdate handles profiles that were read from the platform's store.
func (n *Node) watchUpdate(ev cornelwall.WatchUpdate) {
	n.freshAt, n.platformSeenAt = n.now, n.now
	if ev.All {
		n.checkStoreLag(ev.Profiles)
	}
	n.mergeProfiles(ev.Profiles, n.cfg.Self)
}

// storeLag records that the platform's store holds an older version of a profile than this
// entry knows.
type storeLag struct {
	version uint64 // version that this entry knows
	reads   int    // consecutive reads that returned an older one
}

// readsBeforeWarning is the number of consecutive reads of an older version after which a
// warning is logged. A single read may have begun before a change that this entry has just
// accepted.
const readsBeforeWarning = 2

// checkStoreLag logs a warning, once for each version, if the platform's store holds an
// older version of a profile than this entry knows.
func (n *Node) checkStoreLag(all []cornelwall.Profile) {
	held := make(map[string]uint64, len(all))
	for _, p := range all {
		held[p.Name] = p.Version
	}
	lags := map[string]storeLag{}
	for _, p := range n.catalog.All() {
		if held[p.Name] >= p.Version {
			continue
		}
		lag := storeLag{version: p.Version, reads: 1}
		if last := n.storeLags[p.Name]; last.version == p.Version {
			lag.reads += last.reads
		}
		lags[p.Name] = lag
		if lag.reads == readsBeforeWarning {
			n.log("store-older", "profile", p.Name, "known", p.Version, "held", held[p.Name],
				"remedy", "the store was rolled back to an earlier state; apply the profiles again from version control")
		}
	}
	n.storeLags = lags
}

// mergeProfiles applies newer profiles and sends the changed ones to peers. Profiles from
// a peer of this data centre are not sent on, as that peer has done so already.
func (n *Node) mergeProfiles(profiles []cornelwall.Profile, from cornelwall.Incarnation) {
	var changed []cornelwall.Profile
	for _, p := range profiles {
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

func (n *Node) sendProfiles(to cornelwall.Incarnation, profiles []cornelwall.Profile) {
	if len(profiles) > 0 {
		n.send(to, cornelwall.Message{Profiles: &cornelwall.Profiles{Profiles: profiles}})
	}
}

// electWatcher decides whether this entry watches the platform's store: the first entry
// of the data centre does, and any other entry while it is stale.
func (n *Node) electWatcher() {
	candidates := n.members.LocalActive(n.now, n.stopping)
	first := len(candidates) > 0 && slices.MinFunc(candidates, cornelwall.Incarnation.Compare) == n.cfg.Self
	on := first || n.stale()
	if on == n.watching {
		return
	}
	n.watching = on
	n.emit(cornelwall.SetWatch{On: on})
	n.log("watch", "on", on)
}

// fetchProfileStatus asks every known entry, also those that exchange no heartbeats with
// this one, for the version of a profile in force. The number of messages grows with the
// number of entries, which is acceptable because operators ask rarely.
func (n *Node) fetchProfileStatus(ev cornelwall.FetchProfileStatus) {
	query := &statusQuery{entries: []cornelwall.ProfileStatus{n.profileStatus(ev.Name)}, deadline: n.now.Add(statusQueryTimeout)}
	for _, p := range n.members.All(n.now) {
		query.entries = append(query.entries, cornelwall.ProfileStatus{Entry: p.Incarnation, Missing: true})
		n.send(p.Incarnation, cornelwall.Message{VersionQuery: &cornelwall.VersionQuery{Req: ev.Req, Name: ev.Name}})
	}
	n.statusQueries[ev.Req] = query
	n.finishStatusQueries()
}

func (n *Node) profileStatus(name string) cornelwall.ProfileStatus {
	p, _ := n.catalog.Latest(name)
	return cornelwall.ProfileStatus{Entry: n.cfg.Self, Version: p.Version, Retired: p.Retired, Stale: n.stale()}
}

// answerVersionQuery answers a peer's version query.
func (n *Node) answerVersionQuery(from cornelwall.Incarnation, query *cornelwall.VersionQuery) {
	n.send(from, cornelwall.Message{VersionReply: &cornelwall.VersionReply{Req: query.Req, Status: n.profileStatus(query.Name)}})
}

// receiveVersionReply records a peer's reply to a version query.
func (n *Node) receiveVersionReply(reply *cornelwall.VersionReply) {
	query := n.statusQueries[reply.Req]
	if query == nil {
		return
	}
	for i := range query.entries {
		if query.entries[i].Missing && query.entries[i].Entry.SameEntry(reply.Status.Entry) {
			query.entries[i] = reply.Status
		}
	}
	n.finishStatusQueries()
}

// finishStatusQueries answers the queries for which every entry has replied or the
// deadline has passed.
func (n *Node) finishStatusQueries() {
	for req, query := range n.statusQueries {
		missing := slices.ContainsFunc(query.entries, func(s cornelwall.ProfileStatus) bool { return s.Missing })
		if missing && n.now.Before(query.deadline) {
			continue
		}
		delete(n.statusQueries, req)
		slices.SortFunc(query.entries, func(a, b cornelwall.ProfileStatus) int {
			return cmp.Or(a.Entry.Compare(b.Entry), cmp.Compare(a.Version, b.Version))
		})
		n.emit(cornelwall.ReplyProfileStatus{Req: req, Entries: query.entries})
	}
}
