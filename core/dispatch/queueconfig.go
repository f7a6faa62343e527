package dispatch

import (
	"fmt"
	"time"

	"cornelwall"
)

// configStats tells how the queue configuration gets here, for the logs.
type configStats struct {
	newestVersion uint64    // newest one that any entry has told of
	behindSince   time.Time // when this entry first heard of a newer version than its own; zero if it has not
	asked         int       // requests for a peer's configuration since the last load line
	served        int       // configurations sent to peers since then
}

// setQueueConfig applies a declaration of the queues if it is newer than the one in force. Source names
// where it came from.
func (c *Core) setQueueConfig(d *cornelwall.QueueConfig, source string) {
	if d.Version <= c.queueConfig.Version {
		return
	}
	c.log("declaration", "version", d.Version, "before", c.queueConfig.Version, "queues", len(d.Queues),
		"sum", fmt.Sprintf("%016x", d.Sum()), "source", source, "behind", c.behindFor())
	c.queueConfig = *d
	if c.newestVersion <= d.Version {
		c.behindSince = time.Time{}
	}
}

// noteVersion notes that an entry has a version of the queue configuration.
func (c *Core) noteVersion(version uint64) {
	c.newestVersion = max(c.newestVersion, version)
	if version > c.queueConfig.Version && c.behindSince.IsZero() {
		c.behindSince = c.now
	}
}

// behindFor returns for how long this entry has known that there is a newer version than its own.
func (c *Core) behindFor() time.Duration {
	if c.behindSince.IsZero() {
		return 0
	}
	return c.now.Sub(c.behindSince)
}
