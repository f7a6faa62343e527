package cornelwall

import "time"

// Status is a summary of an entry: what it knows and how much work it has.
type Status struct {
	Entry          Incarnation `json:"entry"`
	Stopping       bool        `json:"stopping,omitempty"`
	Stale          bool        `json:"stale,omitempty"` // the profiles may be outdated, see [Stale]
	Machines       int         `json:"machines"`        // executors and workers on the VM list
	Profiles       int         `json:"profiles"`        // profiles in force
	Peers          int         `json:"peers"`           // entries that answer
	Jobs           int         `json:"jobs"`            // jobs on record, one per ticket
	Waiting        int         `json:"waiting"`         // queued tasks
	Running        int         `json:"running"`         // running tasks
	Forwards       int         `json:"forwards"`        // requests that wait for another entry
	Claims         int         `json:"claims"`          // idempotency keys that wait for the platform
	Resends        int         `json:"resends"`         // messages that wait for a resend
	InheritedBytes int         `json:"inherits"`        // bytes of answers taken over from closed incarnations
	// Services are the loads of services over all entries, as far as this one knows them.
	Services []ServiceStatus `json:"services,omitempty"`
}

// ServiceStatus is the load of a service over a number of entries.
type ServiceStatus struct {
	Service  string        `json:"service"`
	Demand   float64       `json:"demand"`   // cores that callers ask for
	Capacity float64       `json:"capacity"` // cores of usable endpoints
	Entries  int           `json:"entries"`  // counted in both
	Age      time.Duration `json:"age"`      // of the oldest report
}

// Unready returns the reasons, with remedies, why the entry should get no requests from
// callers; none if it is ready.
func (s *Status) Unready() []string {
	var why []string
	if s.Stopping {
		why = append(why, "entry is stopping; use another entry")
	}
	if s.Machines == 0 {
		why = append(why, "no endpoint is known; check --vms and the VM list")
	}
	if s.Profiles == 0 {
		why = append(why, "no profile is in force; check --store and apply a profile")
	}
	return why
}
