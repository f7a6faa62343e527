package cornelwall

// Status is how an entry stands: what it knows and how much work it holds.
type Status struct {
	Entry          Incarnation `json:"entry"`
	Stopping       bool        `json:"stopping,omitempty"`
	Stale          bool        `json:"stale,omitempty"` // no fresh word of the profiles
	Machines       int         `json:"machines"`        // endpoints on the VM list
	Profiles       int         `json:"profiles"`        // in force
	Peers          int         `json:"peers"`           // entries that answer
	Jobs           int         `json:"jobs"`            // tickets with a record
	Waiting        int         `json:"waiting"`         // tasks in the queue
	Running        int         `json:"running"`         // tasks that have started
	Forwards       int         `json:"forwards"`        // requests that wait for other entries
	Claims         int         `json:"claims"`          // callers' keys that wait for the platform
	Resends        int         `json:"resends"`         // messages to be sent again
	InheritedBytes int         `json:"inherits"`        // bytes of answers of closed incarnations
}

// Unready returns why an entry should get no callers, each with the remedy; none if it
// should.
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
