// Package catalog holds the profiles that an entry knows and merges the versions received from
// the platform and from peers. The version of a profile never decreases.
//
// # Usage
//
//	c := catalog.New()
//	changed := c.Merge(profile)
//	p, ok := c.Get("bookings")
package catalog

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornelwall"
)

// Catalog holds the highest known version of each profile, including retired ones.
type Catalog struct {
	profiles map[string]cornelwall.Profile
	digest   uint64
}

// New returns an empty catalog.
func New() *Catalog { return &Catalog{profiles: map[string]cornelwall.Profile{}} }

// Merge stores the profile if it is newer than the known one and reports whether it was.
func (c *Catalog) Merge(p cornelwall.Profile) bool {
	old, ok := c.profiles[p.Name]
	if ok && !p.Newer(&old) {
		return false
	}
	if ok {
		c.digest ^= contentHash(&old)
	}
	c.digest ^= contentHash(&p)
	c.profiles[p.Name] = p
	return true
}

// Get returns the profile if it exists and is not retired.
func (c *Catalog) Get(name string) (cornelwall.Profile, bool) {
	p, ok := c.profiles[name]
	return p, ok && !p.Retired
}

// Latest returns the highest known version of a profile, even if it is retired.
func (c *Catalog) Latest(name string) (cornelwall.Profile, bool) {
	p, ok := c.profiles[name]
	return p, ok
}

// Digest returns a hash of all profiles. Two catalogs with the same content have the same
// digest.
func (c *Catalog) Digest() uint64 { return c.digest }

// Versions returns the version of each profile.
func (c *Catalog) Versions() map[string]uint64 {
	vs := make(map[string]uint64, len(c.profiles))
	for name, p := range c.profiles {
		vs[name] = p.Version
	}
	return vs
}

// NewerThan returns the profiles of which this catalog has a higher version than have, in order
// of name. If neither side has a higher version of any profile, two changes were written with
// the same version number (NewerThan is called when digests differ); it then returns all
// profiles, so that Merge resolves the conflict at the receiver.
func (c *Catalog) NewerThan(have map[string]uint64) []cornelwall.Profile {
	var newer []cornelwall.Profile
	for _, p := range c.All() {
		if p.Version > have[p.Name] {
			newer = append(newer, p)
		}
	}
	for name, version := range have {
		if c.profiles[name].Version < version {
			return newer
		}
	}
	if newer == nil {
		return c.All()
	}
	return newer
}

// All returns every profile in order of name, including retired ones.
func (c *Catalog) All() []cornelwall.Profile {
	var ps []cornelwall.Profile
	for _, name := range slices.Sorted(maps.Keys(c.profiles)) {
		ps = append(ps, c.profiles[name])
	}
	return ps
}

func contentHash(p *cornelwall.Profile) uint64 { return xxhash.Sum64(p.Content()) }
