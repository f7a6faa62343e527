package cornelwall

import "time"

// Core is all decisions of one entry as a state machine. It is not safe for
// concurrent use: one goroutine owns it. It reads no clock and starts nothing.
type Core interface {
	// Step takes one event and returns the commands that follow from it.
	Step(now time.Time, ev Event) []Command
	// Next returns when the core wants a Tick at the latest.
	Next() time.Time
}

// Event is something that happened outside of the core.
type Event interface{ isEvent() }

type (
	// DrawTickets asks for N tickets for the team of a profile.
	DrawTickets struct {
		Req     uint64 // chosen by the host; the reply carries it
		Profile string
		N       int
	}
	// Submit asks to run a job and to be told once it has ended. Key is the
	// caller's own idempotency key, if it has no ticket.
	Submit struct {
		Req uint64
		Job *Job
		Key string
	}
	// Fetch asks for the state of a job; with Wait, for its end.
	Fetch struct {
		Req    uint64
		Ticket Ticket
		Wait   bool
	}
	// Cancel gives up a job. Waiting tasks are dropped.
	Cancel struct {
		Req    uint64
		Ticket Ticket
	}
	// CallerGone says that nobody waits for the request any longer.
	CallerGone struct{ Req uint64 }
	// TaskEnded is the result of a Run command.
	TaskEnded struct {
		Attempt uint64
		Result  Result
	}
	// Receive is what a peer sent.
	Receive struct{ Envelope Envelope }
	// Undelivered gives back an envelope that may not have arrived. Refused says that the
	// address takes no connections, so that nothing was sent and the process has ended.
	Undelivered struct {
		Envelope    Envelope
		ConnRefused bool
	}
	// MachinesListed is the current VM list.
	MachinesListed struct{ VMs []VM }
	// Usage is what all tasks of a worker, those of others too, took up a time Lag ago.
	Usage struct {
		Machine string
		Used    Need
		Lag     time.Duration
	}
	// WatchUpdate is word from the platform's service: profiles that were read or have
	// changed. An empty list says that the watch is alive. All is set if the list is
	// everything that the service holds.
	WatchUpdate struct {
		Profiles []Profile
		All      bool
	}
	// WatchLost says that the watch on the platform's service broke.
	WatchLost struct{}
	// StoreResult answers a StoreSwap or StoreGet command.
	StoreResult struct {
		ID      uint64
		Pair    Pair
		Created bool
		Err     error
	}
	// FetchProfileStatus asks each known entry for the version of a profile that is in force.
	FetchProfileStatus struct {
		Req  uint64
		Name string
	}
	// FetchProfiles asks for all profiles in force at this entry.
	FetchProfiles struct{ Req uint64 }
	// FetchStatus asks how the entry stands.
	FetchStatus struct{ Req uint64 }
	// Tick says that time has passed.
	Tick struct{}
	// Stop asks for a planned stop. Jobs that are open after the time left end without
	// an answer; 0 is no limit.
	Stop struct{ TimeLeft time.Duration }
)

func (DrawTickets) isEvent()        {}
func (Submit) isEvent()             {}
func (Fetch) isEvent()              {}
func (Cancel) isEvent()             {}
func (CallerGone) isEvent()         {}
func (TaskEnded) isEvent()          {}
func (Receive) isEvent()            {}
func (Undelivered) isEvent()        {}
func (MachinesListed) isEvent()     {}
func (Usage) isEvent()              {}
func (WatchUpdate) isEvent()        {}
func (WatchLost) isEvent()          {}
func (StoreResult) isEvent()        {}
func (FetchProfileStatus) isEvent() {}
func (FetchProfiles) isEvent()      {}
func (FetchStatus) isEvent()        {}
func (Tick) isEvent()               {}
func (Stop) isEvent()               {}
