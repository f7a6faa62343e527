package cornelwall

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
)

// Resources is a part of an endpoint.
type Resources struct {
	Cores        int `json:"cores"`                  // in thousandths of a core
	Memory       int `json:"memory,omitempty"`       // MiB
	Accelerators int `json:"accelerators,omitempty"` // whole ones
}

// Fits reports whether s fits into room.
func (s Resources) Fits(room Resources) bool {
	return s.Cores <= room.Cores && s.Memory <= room.Memory && s.Accelerators <= room.Accelerators
}

// Plus returns the sum of two shares.
func (s Resources) Plus(t Resources) Resources {
	return Resources{Cores: s.Cores + t.Cores, Memory: s.Memory + t.Memory, Accelerators: s.Accelerators + t.Accelerators}
}

// Minus returns what is left of s without t.
func (s Resources) Minus(t Resources) Resources {
	return Resources{Cores: s.Cores - t.Cores, Memory: s.Memory - t.Memory, Accelerators: s.Accelerators - t.Accelerators}
}

// Check reports all that is wrong with the share.
func (s Resources) Check() error {
	if s.Cores < 0 || s.Memory < 0 || s.Accelerators < 0 {
		return fmt.Errorf("share %+v is negative; use 0 or more cores, MiB of memory and accelerators", s)
	}
	return nil
}

// Endpoint is an executor that runs tasks under a lease, as the platform lists it.
type Endpoint struct {
	ID         string         `json:"id"`
	Service    string         `json:"service"`
	Addr       netip.AddrPort `json:"addr"`
	DataCentre string         `json:"dc"`
	Capacity   Resources      `json:"room"`              // all of it
	Labels     []string       `json:"labels,omitempty"`  // its kind and its rack
	Leaving    bool           `json:"leaving,omitempty"` // it drains and takes no new tasks
	Boot       int64          `json:"boot,omitempty"`    // its start in milliseconds since 1970, 0 if not known
}

// Check reports all that is wrong with the endpoint.
func (e *Endpoint) Check() error {
	if e.ID == "" || e.Service == "" || !e.Addr.IsValid() {
		return fmt.Errorf("endpoint %q of service %q has address %s; name all three", e.ID, e.Service, e.Addr)
	}
	return e.Capacity.Check()
}

// Equal reports whether both say the same of an endpoint.
func (e *Endpoint) Equal(o *Endpoint) bool {
	return e.ID == o.ID && e.Service == o.Service && e.Addr == o.Addr && e.DataCentre == o.DataCentre && e.Capacity == o.Capacity &&
		slices.Equal(e.Labels, o.Labels) && e.Leaving == o.Leaving && e.Boot == o.Boot
}

// RunID names one run of one task. The number of a task's runs rises.
type RunID struct {
	Task string `json:"task"` // job, occurrence, step and index, joined by dots
	Run  uint64 `json:"run"`
}

// Check reports all that is wrong with the name.
func (r RunID) Check() error {
	if r.Task == "" || r.Run == 0 {
		return fmt.Errorf("run %q number %d is not valid; name a task and a number above 0", r.Task, r.Run)
	}
	return nil
}

//go:generate go tool enumer -type=RunEnd,Refusal -text -transform=kebab -trimprefix=Run,Refused -output=endpoint_gen.go

// RunEnd is how a run of a task ended.
type RunEnd int

const (
	// RunDone means that the task is done.
	RunDone RunEnd = iota
	// RunFailed means that the run failed, through its own fault or the endpoint's.
	RunFailed
	// RunStopped means that it was stopped on order.
	RunStopped
	// RunLapsed means that it ended with the lease or the life of its endpoint.
	RunLapsed
	// RunUnstarted means that it did not start and never will.
	RunUnstarted
)

// Refusal is why an endpoint did not carry out an order.
type Refusal int

const (
	// RefusedNone means that the order was carried out.
	RefusedNone Refusal = iota
	// RefusedFence means that another entry holds the endpoint under a higher fence.
	RefusedFence
	// RefusedOld means that the same or a higher run of the task has been there.
	RefusedOld
	// RefusedLate means that the deadline of the order had passed.
	RefusedLate
	// RefusedRoom means that the task does not fit into what is free.
	RefusedRoom
	// RefusedUnhealthy means that the endpoint is unhealthy and did nothing.
	RefusedUnhealthy
	// RefusedBoot means that the endpoint has started anew.
	RefusedBoot
	// RefusedInvalid means that the endpoint could not make sense of the order.
	RefusedInvalid
	// RefusedConnect means that the order was not sent, as no connection could be made.
	RefusedConnect
	// RefusedUnknown means that no answer came: the order may be carried out even later.
	RefusedUnknown
)

// RunState is a run that an endpoint lists as running.
type RunState struct{ RunID }

// RunEnded is the end of a run that an endpoint lists until it is acknowledged.
type RunEnded struct {
	Seq int64 // of the end, from 1 in each boot
	RunID
	End RunEnd
}

// CheckRuns reports all that is wrong with a list of names of runs.
func CheckRuns(runs []RunID) error {
	var errs []error
	for _, r := range runs {
		errs = append(errs, r.Check())
	}
	return errors.Join(errs...)
}
