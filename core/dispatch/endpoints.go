package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/policy"
)

const (
	unreachableBackoff = 3 * time.Second // for which an endpoint that does not answer is left to other entries
	absentGrace        = 3 * time.Second // off the platform's list, after which an endpoint counts as gone
)

// endpoint is an executor that is or was on the platform's list.
type endpoint struct {
	cornelwall.Endpoint
	hash             uint64    // of its name
	absentSince      time.Time // since when it has been off the list; zero if it is on it
	changedRev       int64     // revision of the list that changed it last
	unreachableUntil time.Time // until when it is left to other entries, as it does not answer this one
	retakeAt         time.Time // until when it is left to the entry that has taken it over
	lease            *lease    // of this entry; nil if it does not hold the endpoint
	health           policy.Health
	reportsProgress  bool // it has reported the progress of a run

	preferred, alternate cornelwall.Incarnation // entry that should hold it, and the one that should if this entry does not
	presumedHolder       cornelwall.Incarnation // other entry that may hold it; zero if none is known
	freeSince            time.Time              // when it was added, its lease here ended or this entry became preferred; see freeDelay
	requestedAt          time.Time              // when the presumed holder was asked to hand it over
	redirects            int                    // times that the request was referred to another entry
	refusedFences        int                    // acquisitions in a row that it has refused because of their fences

	declinedOffers map[cornelwall.Incarnation]uint64 // last offer of it that was declined, by the entry that made it
}

// addEndpoint adds an endpoint that is not known yet.
func (c *Core) addEndpoint(info cornelwall.Endpoint) *endpoint {
	ep := &endpoint{Endpoint: info, hash: hashOf(info.ID), freeSince: c.now}
	c.endpoints[info.ID] = ep
	i, _ := slices.BinarySearchFunc(c.endpointsByName, info.ID, compareEndpointID)
	c.endpointsByName = slices.Insert(c.endpointsByName, i, ep)
	c.rankEndpoint(ep)
	return ep
}

func (c *Core) removeEndpoint(ep *endpoint) {
	delete(c.endpoints, ep.ID)
	if i, ok := slices.BinarySearchFunc(c.endpointsByName, ep.ID, compareEndpointID); ok {
		c.endpointsByName = slices.Delete(c.endpointsByName, i, i+1)
	}
	c.preferredEndpoints = slices.DeleteFunc(c.preferredEndpoints, func(m *endpoint) bool { return m == ep })
}

func compareEndpointID(ep *endpoint, id string) int { return cmp.Compare(ep.ID, id) }

// setLease sets this entry's lease on an endpoint, or removes it if l is nil.
func (c *Core) setLease(ep *endpoint, l *lease) {
	ep.lease = l
	c.heldEndpoints = slices.DeleteFunc(c.heldEndpoints, func(h *endpoint) bool { return h == ep })
	c.heldChanged = c.heldChanged || l == nil
	if l != nil {
		i, _ := slices.BinarySearchFunc(c.heldEndpoints, ep.ID, compareEndpointID)
		c.heldEndpoints = slices.Insert(c.heldEndpoints, i, ep)
	}
}

// held returns the endpoints that this entry holds, ordered by name. The slice may change with the
// next call of setLease.
func (c *Core) held() []*endpoint { return c.heldEndpoints }

// isGone reports whether the platform answers and has left the endpoint off its list for longer
// than absentGrace.
func (c *Core) isGone(ep *endpoint) bool {
	return !ep.absentSince.IsZero() && c.platformUp && c.now.Sub(ep.absentSince) > absentGrace
}

// Held returns the number of endpoints that this entry holds.
func (c *Core) Held() int { return len(c.heldEndpoints) }

// removeGoneEndpoints removes the endpoints that are gone and have no runs here, every
// pruneInterval.
func (c *Core) removeGoneEndpoints() {
	if c.now.Sub(c.lastGoneCheck) < pruneInterval {
		return
	}
	c.lastGoneCheck = c.now
	for _, ep := range slices.Clone(c.endpointsByName) {
		if c.isGone(ep) && (ep.lease == nil || len(ep.lease.runs) == 0) {
			c.confirmAllCrashes(ep.ID)
			c.release(ep)
			c.removeEndpoint(ep)
			c.log("endpoint-gone", "endpoint", ep.ID)
		}
	}
}
