package cornelwall

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Resources is an amount of the resources of an endpoint. Unlike in a Need, cores are counted in
// thousandths.
type Resources struct {
	Cores        int `json:"cores"`                  // thousandths of a core
	Memory       int `json:"memory,omitempty"`       // MiB
	Accelerators int `json:"accelerators,omitempty"` // whole accelerators
}

// Fits reports whether r fits into capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.Cores <= capacity.Cores && r.Memory <= capacity.Memory && r.Accelerators <= capacity.Accelerators
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{Cores: r.Cores + o.Cores, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{Cores: r.Cores - o.Cores, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

const (
	maxAmount    = 100_000_000 // of one resource; sums over a fleet must not overflow
	maxLabels    = 64          // of an endpoint
	maxFieldSize = 200         // bytes of a text in an Endpoint or of a label, which go to other entries
)

// Check reports an error if an amount is negative or too large.
func (r Resources) Check() error {
	for _, n := range []int{r.Cores, r.Memory, r.Accelerators} {
		if n < 0 || n > maxAmount {
			return fmt.Errorf("share %+v has an amount out of range; use 0 to %d thousandths of cores, MiB of memory and accelerators", r, maxAmount)
		}
	}
	return nil
}

// Endpoint is a server that runs tasks of batches for the one entry that holds the lease on it, as
// the platform lists it. It is not a machine of the VM list; see Kind for those.
//
// An Endpoint is the endpoint's own record as of one revision of the platform's store, and tells of one
// boot. An endpoint that starts again may be of another kind, so that nothing in the record of one
// boot holds for another.
type Endpoint struct {
	ID         string         `json:"id"`
	Service    string         `json:"service"`
	Addr       netip.AddrPort `json:"addr"`
	DataCentre string         `json:"dc"`
	Capacity   Resources      `json:"room"`              // total, in use or free
	Labels     []string       `json:"labels,omitempty"`  // kind and rack
	Leaving    bool           `json:"leaving,omitempty"` // draining: takes no new tasks
	Boot       int64          `json:"boot,omitempty"`    // start in milliseconds since 1970, 0 if unknown
	Revision   int64          `json:"at,omitempty"`      // of the platform's store, as of which this is the record; 0 if unknown
	Report     int64          `json:"report,omitempty"`  // number of the report; rises with each of one boot, and is 0 if unknown
	Remaining  time.Duration  `json:"left,omitempty"`    // for which it serves on as of Revision, if it is leaving; 0 if unknown
}

// Check reports every problem with the endpoint.
func (e *Endpoint) Check() error {
	errs := []error{e.Capacity.Check()}
	if e.ID == "" || e.Service == "" || !e.Addr.IsValid() || e.Addr.Port() == 0 || e.Addr.Addr().IsUnspecified() {
		errs = append(errs, fmt.Errorf("endpoint %.50q of service %.50q has address %s; name all three, with an IP address and a port to connect to", e.ID, e.Service, e.Addr))
	}
	if e.Remaining < 0 {
		errs = append(errs, fmt.Errorf("endpoint %.50q serves on for %s; send 0 or more", e.ID, e.Remaining))
	}
	if len(e.Labels) > maxLabels {
		errs = append(errs, fmt.Errorf("endpoint %.50q has %d labels; use at most %d", e.ID, len(e.Labels), maxLabels))
	}
	for _, s := range append([]string{e.ID, e.Service, e.DataCentre}, e.Labels[:min(len(e.Labels), maxLabels)]...) {
		if len(s) > maxFieldSize {
			errs = append(errs, fmt.Errorf("endpoint %.50q has a text of %d bytes, %.50q; use at most %d", e.ID, len(s), s, maxFieldSize))
			break
		}
	}
	return errors.Join(errs...)
}

// Equal reports whether all fields are equal but the revision and what changes with each: the number of the report and the
// time that remains.
func (e *Endpoint) Equal(o *Endpoint) bool {
	return e.ID == o.ID && e.Service == o.Service && e.Addr == o.Addr && e.DataCentre == o.DataCentre && e.Capacity == o.Capacity &&
		slices.Equal(e.Labels, o.Labels) && e.Leaving == o.Leaving && e.Boot == o.Boot
}

// RunID identifies one run of one task. Each new run of a task has a higher number.
type RunID struct {
	Task string `json:"task"` // batch ID, 0, index of the step and index of the task in it, separated by dots
	Run  uint64 `json:"run"`
}

// BatchOf returns the ID of the batch of a task.
func BatchOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// Check reports an error if the ID is incomplete.
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
	// RunFailed means that the run failed, because of the task or the endpoint.
	RunFailed
	// RunStopped means that the run was stopped by a StopRun.
	RunStopped
	// RunLapsed means that the run ended because the lease on its endpoint expired or the
	// endpoint went down.
	RunLapsed
	// RunUnstarted means that the run has not started and never will.
	RunUnstarted
)

// Refusal is why an endpoint did not carry out an order, which is a PollEndpoint, StartRun or
// StopRun.
type Refusal int

const (
	// RefusedNone means that the order was carried out.
	RefusedNone Refusal = iota
	// RefusedFence means that another entry holds the endpoint with a higher fencing token.
	RefusedFence
	// RefusedOld means that the endpoint has seen the same or a later run of the task.
	RefusedOld
	// RefusedLate means that the LeaseUntil of a StartRun had passed.
	RefusedLate
	// RefusedRoom means that the endpoint has too few free resources for the task.
	RefusedRoom
	// RefusedUnhealthy means that the endpoint is unhealthy and did nothing.
	RefusedUnhealthy
	// RefusedBoot means that the endpoint has restarted.
	RefusedBoot
	// RefusedRestarted means that a StartRun was not sent, as the endpoint has another boot than the
	// order names.
	RefusedRestarted
	// RefusedInvalid means that the endpoint rejected the order as malformed.
	RefusedInvalid
	// RefusedConnect means that the order was not sent because the connection failed.
	RefusedConnect
	// RefusedUnknown means that no answer arrived: the order may still be carried out.
	RefusedUnknown
)

// RunState is a run that an endpoint reports as running.
type RunState struct {
	RunID
	Progress float64 // share of the work that is done, from 0 to 1
}

// RunEnded is the end of a run, which an endpoint reports until it is acknowledged.
type RunEnded struct {
	Seq int64 // from 1 after each boot
	RunID
	End RunEnd
}

// CheckRuns reports every problem with a list of run IDs.
func CheckRuns(runs []RunID) error {
	var errs []error
	for _, r := range runs {
		errs = append(errs, r.Check())
	}
	return errors.Join(errs...)
}
