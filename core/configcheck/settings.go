package configcheck

import (
	"fmt"
	"net/netip"
	"time"
)

// Settings are the settings of an entry, with the defaults of those that are not set.
type Settings struct {
	CallerAddr    netip.AddrPort
	ReadinessAddr netip.AddrPort
	PeerAddr      netip.AddrPort
	StoreAddr     netip.AddrPort
	Seeds         []netip.AddrPort
	MaxLease      time.Duration // endpoints cut longer leases to this
	StopDelay     time.Duration // a run ends within this time after a stop order or the end of its lease
	StopGrace     time.Duration // time that a planned stop of the entry may take
	DrainTime     time.Duration // for which a leaving endpoint serves on; 0 if not set
}

// Requirements are the times that the program needs.
type Requirements struct {
	LeaseTTL  time.Duration // of the leases that an entry asks for
	StopGrace time.Duration // shortest planned stop
}

// CheckSettings returns the problems with the settings of an entry.
func CheckSettings(s *Settings, need Requirements, source Source) []Problem {
	c := &settingsChecker{Settings: s, report: report{source: source}}
	c.checkAddresses()
	c.checkSeeds()
	c.checkTimes(need)
	for _, f := range []struct {
		field  Field
		effect string
	}{
		{FieldMemory, "no memory size is set, so that the program's memory is not limited"},
		{FieldProcessor, "no processor share is set, so that the entry gets the least possible share of the endpoints"},
	} {
		if source.State(0, f.field) == StateMissing {
			c.warnAt(f.field, "set "+source.Place(0, f.field).Path, "%s", f.effect)
		}
	}
	return c.problems
}

// settingsChecker checks the settings of an entry.
type settingsChecker struct {
	*Settings
	report
}

func (c *settingsChecker) errorAt(f Field, remedy, format string, args ...any) {
	c.add(SeverityError, 0, f, "", fmt.Sprintf(format, args...), remedy)
}

func (c *settingsChecker) warnAt(f Field, remedy, format string, args ...any) {
	c.add(SeverityWarning, 0, f, "", fmt.Sprintf(format, args...), remedy)
}

// checkAddresses checks the addresses of the listeners and of the store. An address that could not be
// decoded is not valid, and has been reported.
func (c *settingsChecker) checkAddresses() {
	listeners := []struct {
		field Field
		addr  netip.AddrPort
	}{{FieldCallerAddr, c.CallerAddr}, {FieldReadinessAddr, c.ReadinessAddr}, {FieldPeerAddr, c.PeerAddr}}
	for i, l := range listeners {
		if !l.addr.IsValid() {
			continue
		}
		if l.addr.Port() == 0 {
			c.errorAt(l.field, "set a port", "port 0 of %s disables the listener", l.addr)
			continue
		}
		for _, other := range listeners[:i] {
			if l.addr == other.addr {
				c.errorAt(l.field, "give each listener a port of its own", "%s is the address of %s too", l.addr, c.source.Place(0, other.field).Path)
			}
		}
	}
	if c.StoreAddr.IsValid() && c.StoreAddr.Port() == 0 {
		c.errorAt(FieldStoreAddr, "set the port of the store", "port 0 of %s cannot be reached", c.StoreAddr)
	}
	if c.PeerAddr.IsValid() && c.PeerAddr.Addr().IsUnspecified() {
		c.errorAt(FieldPeerAddr, "set the address at which other entries reach this one", "%s is announced to other entries, which cannot reach it", c.PeerAddr)
	}
	if c.StoreAddr.IsValid() && c.StoreAddr.Addr().IsUnspecified() {
		c.errorAt(FieldStoreAddr, "set the address of the store", "%s cannot be reached", c.StoreAddr)
	}
}

// checkSeeds checks the addresses of other entries, which are asked while the store does not answer.
func (c *settingsChecker) checkSeeds() {
	seen := map[netip.AddrPort]bool{}
	others := 0
	for _, a := range c.Seeds {
		if seen[a] && a.IsValid() {
			c.warnAt(FieldSeeds, "keep one of them", "%s is listed twice", a)
		}
		if !a.IsValid() || !seen[a] && a != c.PeerAddr {
			others++
		}
		seen[a] = true
	}
	if others == 0 {
		c.warnAt(FieldSeeds, "list some other entries", "no other entry is listed, so that an entry that starts while the store does not answer finds none")
	}
}

func (c *settingsChecker) checkTimes(need Requirements) {
	if c.MaxLease < need.LeaseTTL {
		c.errorAt(FieldMaxLease, fmt.Sprintf("allow %s or more", need.LeaseTTL),
			"entries ask for leases of %s, while at most %s is allowed", need.LeaseTTL, c.MaxLease)
	}
	if c.StopDelay >= c.MaxLease && c.source.State(0, FieldMaxLease) != StateUnreadable {
		c.warnAt(FieldStopDelay, "set less than "+c.source.Place(0, FieldMaxLease).Path,
			"runs may last %s after the end of a lease, which is no shorter than the longest lease, %s", c.StopDelay, c.MaxLease)
	}
	if c.StopGrace < need.StopGrace {
		c.errorAt(FieldStopGrace, fmt.Sprintf("allow %s or more", need.StopGrace),
			"a planned stop takes at least %s, while %s is allowed", need.StopGrace, c.StopGrace)
	}
	if c.DrainTime > c.StopGrace && c.source.State(0, FieldStopGrace) != StateUnreadable {
		c.errorAt(FieldDrainTime, "lower it, or raise "+c.source.Place(0, FieldStopGrace).Path,
			"the drain time of %s is above the grace period of a planned stop, %s", c.DrainTime, c.StopGrace)
	}
}
