package cornelwall

import (
	"net/netip"
	"time"
)

// Command is something that the host does for the core.
type Command interface{ isCommand() }

// ReplyCommand is a command that ends a request.
type ReplyCommand interface {
	Command
	Request() uint64
}

// Start is one start of one task.
type Start struct {
	Attempt  uint64
	Ticket   Ticket
	Index    int // of the task in its job
	Body     []byte
	Need     Need
	TimeLeft time.Duration // time left to the job's deadline
}

// ProfileStatus tells which version of a profile is in force at one entry.
type ProfileStatus struct {
	Entry   Incarnation `json:"entry"`
	Version uint64      `json:"version"`
	Retired bool        `json:"retired,omitempty"`
	Stale   bool        `json:"stale,omitempty"`   // no fresh word of the platform
	Missing bool        `json:"missing,omitempty"` // the entry did not answer; Version is not known
}

type (
	// Reply ends a Submit, Fetch or Cancel.
	Reply struct {
		Req    uint64
		Answer Answer
	}
	// ReplyTickets ends a Draw. Without tickets, Answer tells the refusal.
	ReplyTickets struct {
		Req     uint64
		Tickets []Ticket
		Answer  Answer
	}
	// ReplyProfileStatus ends an Inspect.
	ReplyProfileStatus struct {
		Req     uint64
		Entries []ProfileStatus
	}
	// ReplyProfiles ends a Catalog.
	ReplyProfiles struct {
		Req      uint64
		Profiles []Profile
	}
	// ReplyStatus ends a Describe.
	ReplyStatus struct {
		Req    uint64
		Status Status
	}
	// RunTask starts a task on a machine. The host reports its end with Ended.
	RunTask struct {
		VM    VM
		Start Start
	}
	// AbandonTask asks a worker to stop a task whose job was given up.
	AbandonTask struct{ Attempt uint64 }
	// PollUsage asks a worker what its tasks take up. The host reports it with Usage.
	PollUsage struct{ VM VM }
	// Send hands a message to a peer. To.Life is 0 if it is not known yet; only a
	// Beat or an Ask may be sent so.
	//
	// Messages to one peer arrive in order, but for those that go apart, which nothing
	// else holds up.
	Send struct {
		To        Incarnation
		Addr      netip.AddrPort
		Message   Message
		Unordered bool
	}
	// StoreGet reads a key of the platform's service.
	StoreGet struct {
		ID  uint64
		Key string
	}
	// StoreCreate writes a key that must not exist yet, to vanish after Life.
	StoreCreate struct {
		ID    uint64
		Key   string
		Value []byte
		TTL   time.Duration
	}
	// SetWatch turns the watch on the platform's service on or off.
	SetWatch struct{ On bool }
	// CountReason adds N to the counter of a reason. Retry tells retries from refusals.
	CountReason struct {
		Reason Reason
		Retry  bool
		N      int
	}
	// Log writes one line of key=value pairs.
	Log struct {
		Event string
		Pairs []any
	}
	// Stopped says that the planned stop is complete.
	Stopped struct{}
)

func (Reply) isCommand()              {}
func (ReplyTickets) isCommand()       {}
func (ReplyProfileStatus) isCommand() {}
func (ReplyProfiles) isCommand()      {}
func (ReplyStatus) isCommand()        {}
func (RunTask) isCommand()            {}
func (AbandonTask) isCommand()        {}
func (PollUsage) isCommand()          {}
func (Send) isCommand()               {}
func (StoreGet) isCommand()           {}
func (StoreCreate) isCommand()        {}
func (SetWatch) isCommand()           {}
func (CountReason) isCommand()        {}
func (Log) isCommand()                {}
func (Stopped) isCommand()            {}

// Request returns the request that is ended.
func (r Reply) Request() uint64 { return r.Req }

// Request returns the request that is ended.
func (r ReplyTickets) Request() uint64 { return r.Req }

// Request returns the request that is ended.
func (r ReplyProfileStatus) Request() uint64 { return r.Req }

// Request returns the request that is ended.
func (r ReplyProfiles) Request() uint64 { return r.Req }

// Request returns the request that is ended.
func (r ReplyStatus) Request() uint64 { return r.Req }
