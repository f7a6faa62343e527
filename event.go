package cornelwall

import "time"

// Core is the state machine that makes all decisions of one entry. It is not safe for
// concurrent use: one goroutine owns it. It reads no clock and does no I/O.
type Core interface {
	// Step handles one event and returns the resulting commands.
	Step(now time.Time, ev Event) []Command
	// Next returns when the core needs a Tick at the latest.
	Next() time.Time
}

// Event is an input of the core: a request, the result of a command, or a change outside.
type Event interface{ isEvent() }

type (
	// DrawTickets requests N tickets for the team of a profile.
	DrawTickets struct {
		Req     uint64 // chosen by the host; the reply carries it
		Profile string
		N       int
	}
	// Submit requests to run a job; the reply is sent when the job has ended. Key is the
	// caller's idempotency key, if the job has no ticket.
	Submit struct {
		Req uint64
		Job *Job
		Key string
	}
	// Fetch requests the state of a job; with Wait, the reply is sent when the job has ended.
	Fetch struct {
		Req    uint64
		Ticket Ticket
		Wait   bool
	}
	// Cancel cancels a job. Waiting tasks are dropped.
	Cancel struct {
		Req    uint64
		Ticket Ticket
	}
	// CallerGone reports that the caller no longer waits for the reply to the request.
	CallerGone struct{ Req uint64 }
	// TaskEnded is the result of a RunTask command.
	TaskEnded struct {
		Attempt uint64
		Result  Result
	}
	// Receive is an envelope that arrived from a peer.
	Receive struct{ Envelope Envelope }
	// Undelivered returns an envelope that may not have arrived. ConnRefused reports that the
	// address refused the connection: nothing was sent, and the process that listened there has
	// ended.
	Undelivered struct {
		Envelope    Envelope
		ConnRefused bool
	}
	// MachinesListed is the current VM list.
	MachinesListed struct{ VMs []VM }
	// Usage is the resource usage of all tasks of a worker, including those of other entries.
	// Lag is the age of the measurement.
	Usage struct {
		Machine string
		Used    Need
		Lag     time.Duration
	}
	// WatchUpdate carries profiles that were read from the platform's store or have changed
	// there. An empty list reports that the watch is alive. All is set if the list holds
	// every profile in the store.
	WatchUpdate struct {
		Profiles []Profile
		All      bool
	}
	// WatchLost reports that the watch on the platform's store broke.
	WatchLost struct{}
	// StoreResult is the result of a StoreCreate or StoreGet command.
	StoreResult struct {
		ID      uint64
		Pair    Pair
		Created bool
		Err     error
	}
	// FetchProfileStatus requests the version of a profile that is in force at each known
	// entry.
	FetchProfileStatus struct {
		Req  uint64
		Name string
	}
	// FetchProfiles requests all profiles that this entry knows, including retired ones.
	FetchProfiles struct{ Req uint64 }
	// FetchStatus requests the Status of the entry.
	FetchStatus struct{ Req uint64 }
	// Tick reports that time has passed.
	Tick struct{}
	// Stop requests a graceful shutdown. Jobs that are still open after TimeLeft end without
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
