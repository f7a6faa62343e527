package cornelwall

import (
	"errors"
	"fmt"
	"net/netip"
)

// MaxDrainNotices is how many drain notices a heartbeat carries at most.
const MaxDrainNotices = 1 << 12

// DrainNotice tells that a machine has asked for no new tasks.
type DrainNotice struct {
	Machine string         `json:"machine"`
	Addr    netip.AddrPort `json:"addr"` // a machine that returns under another address is a different one
	TTL     Duration       `json:"life"` // how long the notice stays in force
}

// Check returns an error that joins all problems of the notice.
func (d *DrainNotice) Check() error {
	var errs []error
	if d.Machine == "" || !d.Addr.IsValid() {
		errs = append(errs, fmt.Errorf("drain notice of machine %.50q has address %s; name both", d.Machine, d.Addr))
	}
	if d.TTL <= 0 {
		errs = append(errs, fmt.Errorf("ttl %s of a drain notice is not positive; use more than 0s", d.TTL))
	}
	return errors.Join(errs...)
}
