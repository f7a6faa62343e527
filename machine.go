package cornelwall

import (
	"errors"
	"fmt"
	"net/netip"
)

// Kind is what a machine on the VM list is used for.
type Kind int

const (
	// Entry machines run cornelwall.
	Entry Kind = iota
	// Executor machines run tasks in slots.
	Executor
	// Worker machines run tasks that need certain resources, each under a lease.
	Worker
)

// VMState is whether a machine on the VM list takes new work.
type VMState int

const (
	// Live machines take work.
	Live VMState = iota
	// Leaving machines take no new work.
	Leaving
)

// VM is a machine on the platform's VM list.
type VM struct {
	Name       string         `json:"name"`
	Kind       Kind           `json:"kind"`
	State      VMState        `json:"state"`
	DataCentre string         `json:"dc"`
	Rack       string         `json:"rack,omitempty"`
	Addr       netip.AddrPort `json:"addr"`
	Slots      int            `json:"slots,omitempty"` // slots of an executor
	Conns      int            `json:"conns,omitempty"` // maximum number of connections to an executor
	Capacity   Need           `json:"room,omitzero"`   // capacity of a worker
}

// Check reports every problem with the machine.
func (v *VM) Check() error {
	errs := []error{CheckName("name", v.Name), CheckName("dc", v.DataCentre), v.Capacity.Check()}
	if !v.Kind.IsAKind() || !v.State.IsAVMState() {
		errs = append(errs, fmt.Errorf("machine %q has kind %d and state %d; use a known kind and state", v.Name, v.Kind, v.State))
	}
	if !v.Addr.IsValid() {
		errs = append(errs, fmt.Errorf("machine %q has no address; use ip:port", v.Name))
	}
	if v.Kind == Executor && v.Slots < 1 {
		errs = append(errs, fmt.Errorf("executor %q has %d slots; use 1 or more", v.Name, v.Slots))
	}
	return errors.Join(errs...)
}
