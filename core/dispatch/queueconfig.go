package dispatch

import (
	"fmt"
	"slices"
	"time"

	"cornelwall"
)

const (
	storeHeadStart  = 400 * time.Millisecond // for which the platform's store may bring a newer configuration before a peer is asked
	minFetchBackoff = 50 * time.Millisecond  // before another peer is asked; doubles with each fetch in a row that failed
	maxFetchBackoff = time.Second
	supplierPenalty = 2 * time.Second // for which a peer that failed to send its configuration is asked only if no other can be
	slowFetchTime   = 3 * time.Second // after which a second peer is asked beside one that still sends
	maxFetches      = 2               // at a time
)

// queueConfigState is the queue configuration in force, and what is known of newer ones.
//
// A version comes into force here and nowhere else, by setQueueConfig, and only if it is newer. It comes
// from the platform's store, which every entry watches. An entry that hears of a newer version than
// its own first leaves the store some time to bring it. Then it fetches the configuration from one of the
// peers that have a newer one. It asks another one only once that has answered, failed or
// taken long, so that the load of its link does not grow with the number of peers.
type queueConfigState struct {
	queueConfig   *cornelwall.QueueConfig // never modified; version 0 before the first one
	newestVersion uint64                  // newest one that any entry has told of
	behindSince   time.Time               // when this entry first heard of a newer version than its own; zero if it has not

	fetchingFrom []cornelwall.Incarnation // entries that were asked for their configurations
	fetchAfter   time.Time                // earliest start of the next fetch
	fetchBackoff time.Duration
	fetches      uint64 // since the start; varies the choice of the peer
}

// setQueueConfig brings a queue configuration into force if it is newer than the one in force, and
// lets other entries fetch it. Source names where it came from.
func (c *Core) setQueueConfig(cfg *cornelwall.QueueConfig, source string) {
	if cfg.Version <= c.queueConfig.Version {
		return
	}
	c.log("declaration", "version", cfg.Version, "before", c.queueConfig.Version, "queues", len(cfg.Queues),
		"sum", fmt.Sprintf("%016x", cfg.Sum()), "source", source, "behind", c.behindFor())
	c.queueConfig = cfg
	c.newestVersion = max(c.newestVersion, cfg.Version)
	c.behindSince = time.Time{}
	c.updateBehind()
	c.emit(cornelwall.ServeQueueConfig{Config: cfg})
}

// noteVersion notes the version of the queue configuration that a peer has.
func (c *Core) noteVersion(p *peer, version uint64) {
	p.version = max(p.version, version)
	c.newestVersion = max(c.newestVersion, version)
	c.updateBehind()
}

// updateBehind sets behindSince after a change of the newest known version.
func (c *Core) updateBehind() {
	switch {
	case !c.isBehind():
		c.behindSince = time.Time{}
	case c.behindSince.IsZero():
		c.behindSince = c.now
	}
}

// isBehind reports whether an entry has told of a newer queue configuration than the one in force.
func (c *Core) isBehind() bool { return c.newestVersion > c.queueConfig.Version }

// behindFor returns for how long this entry has known that there is a newer version than its own.
func (c *Core) behindFor() time.Duration {
	if c.behindSince.IsZero() {
		return 0
	}
	return c.now.Sub(c.behindSince)
}

// mayLackNewest reports whether there may be a newer queue configuration than the one in force:
// one is known, or neither this entry nor a peer that it hears reads the platform.
func (c *Core) mayLackNewest() bool {
	if c.queueConfig.Version == 0 || c.isBehind() {
		return true
	}
	if c.platformUp {
		return false
	}
	for _, p := range c.peers {
		if c.isResponsive(p) && !p.platformLost && p.version == c.queueConfig.Version {
			return false
		}
	}
	return true
}

// fetchQueueConfig fetches a newer queue configuration from a peer, unless a fetch is under way, the
// store is given time to bring it, or the last fetch has just failed.
func (c *Core) fetchQueueConfig() {
	if !c.isBehind() || len(c.fetchingFrom) == maxFetches || c.now.Before(c.fetchAfter) {
		return
	}
	if c.platformUp && c.behindFor() < storeHeadStart {
		return
	}
	p := c.pickSupplier()
	if p == nil {
		return
	}
	c.fetches++
	c.fetchingFrom = append(c.fetchingFrom, p.id)
	c.fetchAfter = c.now.Add(slowFetchTime)
	c.emit(cornelwall.FetchQueueConfig{From: p.id, Addr: p.addr, Have: c.queueConfig.Version})
}

// pickSupplier returns a peer with a newer queue configuration, or nil. Of those with the highest
// supplierRank, one is chosen at random by weight.
func (c *Core) pickSupplier() *peer {
	var best *peer
	var bestRank int
	var bestScore float64
	for _, p := range c.peersByID {
		if p.version <= c.queueConfig.Version || p.dead || slices.Contains(c.fetchingFrom, p.id) {
			continue
		}
		rank := c.supplierRank(p)
		s := score(p.hash, c.nameHash+c.fetches, p.weight)
		if best == nil || rank > bestRank || rank == bestRank && s > bestScore {
			best, bestRank, bestScore = p, rank, s
		}
	}
	return best
}

// What makes a peer a better supplier of its queue configuration, in the order of weight.
const (
	rankSameCentre = 1 << iota
	rankNotFailed
	rankHeard
)

// supplierRank returns how well a peer is suited to send its queue configuration; higher is better.
func (c *Core) supplierRank(p *peer) int {
	rank := 0
	if c.now.Sub(p.heardAt) <= deadTimeout {
		rank |= rankHeard
	}
	if p.fetchFailedAt.IsZero() || c.now.Sub(p.fetchFailedAt) >= supplierPenalty {
		rank |= rankNotFailed
	}
	if p.id.DataCentre == c.cfg.Self.DataCentre {
		rank |= rankSameCentre
	}
	return rank
}

// handleQueueConfigFetched processes the end of a fetch. After one without a newer configuration the
// next one waits for a while.
func (c *Core) handleQueueConfigFetched(ev cornelwall.QueueConfigFetched) {
	c.fetchingFrom = slices.DeleteFunc(c.fetchingFrom, func(id cornelwall.Incarnation) bool { return id == ev.From })
	p := c.peers[ev.From]
	switch {
	case ev.Result == cornelwall.FetchDone:
		c.fetchBackoff, c.fetchAfter = 0, c.now
		c.setQueueConfig(ev.Config, ev.From.String())
		return
	case p == nil:
	case ev.Result == cornelwall.FetchNoNewer:
		p.version = min(p.version, c.queueConfig.Version)
		c.recountNewest()
	case ev.Result == cornelwall.FetchFailed:
		p.fetchFailedAt = c.now
	}
	c.fetchBackoff = min(max(2*c.fetchBackoff, minFetchBackoff), maxFetchBackoff)
	jitter := time.Duration((c.nameHash + c.fetches) % uint64(minFetchBackoff)) // entries that were told busy together do not return together
	c.fetchAfter = c.now.Add(c.fetchBackoff + jitter)
}

// recountNewest determines the newest known version again, after a peer has none or is forgotten.
func (c *Core) recountNewest() {
	c.newestVersion = c.queueConfig.Version
	for _, p := range c.peersByID {
		c.newestVersion = max(c.newestVersion, p.version)
	}
	c.updateBehind()
}
