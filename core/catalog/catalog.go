// Package catalog holds the profiles in force at an entry and merges the versions
// that come from the platform and from peers. A profile never goes back to a lower
// version.
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

// Catalog holds the highest version known of each profile, retired ones too.
type Catalog struct {
	profiles map[string]cornelwall.Profile
	digest   uint64
}

// New returns an empty catalog.
func New() *Catalog { return &Catalog{profiles: map[string]cornelwall.Profile{}} }

// Merge takes over the profile if it is newer than the one known and reports
// whether it was.
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

// Get returns the profile if it is in force.
func (c *Catalog) Get(name string) (cornelwall.Profile, bool) {
	p, ok := c.profiles[name]
	return p, ok && !p.Retired
}

// Latest returns the highest version known of a profile, also if it is retired.
func (c *Catalog) Latest(name string) (cornelwall.Profile, bool) {
	p, ok := c.profiles[name]
	return p, ok
}

// Digest returns a hash of all profiles; two catalogs with the same
// content have the same digest.
func (c *Catalog) Digest() uint64 { return c.digest }

// Versions returns the version of each profile.
func (c *Catalog) Versions() map[string]uint64 {
	vs := make(map[string]uint64, len(c.profiles))
	for name, p := range c.profiles {
		vs[name] = p.Version
	}
	return vs
}

// NewerThan returns the profiles that the holder of the versions lacks, by name. If it
// lacks none although the digests differ, two changes have written one version, and
// all are returned for the merge to settle.
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

// All returns every profile by name, retired ones too.
func (c *Catalog) All() []cornelwall.Profile {
	var ps []cornelwall.Profile
	for _, name := range slices.Sorted(maps.Keys(c.profiles)) {
		ps = append(ps, c.profiles[name])
	}
	return ps
}

func contentHash(p *cornelwall.Profile) uint64 { return xxhash.Sum64(p.Content()) }
