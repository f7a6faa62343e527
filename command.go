package cornelwall

import (
	"net/netip"
	"time"
)

// Command is an effect that the core requests from its host.
type Command interface{ isCommand() }

// ReplyCommand is a command that answers a request.
type ReplyCommand interface {
	Command
	Request() uint64
}

// Start is one attempt to run a task.
type Start struct {
	Attempt  uint64 // number of the attempt, unique at its entry
	Ticket   Ticket
	Index    int // of the task in its job
	Body     []byte
	Need     Need
	TimeLeft time.Duration // until the job's deadline
}

// ProfileStatus is the version of a profile that is in force at one entry.
type ProfileStatus struct {
	Entry   Incarnation `json:"entry"`
	Version uint64      `json:"version"`
	Retired bool        `json:"retired,omitempty"`
	Stale   bool        `json:"stale,omitempty"`   // the entry has not heard from the platform for too long
	Missing bool        `json:"missing,omitempty"` // the entry did not answer, so Version is unknown
}

type (
	// Reply answers a Submit, Fetch or Cancel.
	Reply struct {
		Req    uint64
		Answer Answer
	}
	// ReplyTickets answers a DrawTickets. Without tickets, Answer is the refusal.
	ReplyTickets struct {
		Req     uint64
		Tickets []Ticket
		Answer  Answer
	}
	// ReplyProfileStatus answers a FetchProfileStatus.
	ReplyProfileStatus struct {
		Req     uint64
		Entries []ProfileStatus
	}
	// ReplyProfiles answers a FetchProfiles.
	ReplyProfiles struct {
		Req      uint64
		Profiles []Profile
	}
	// ReplyStatus answers a FetchStatus.
	ReplyStatus struct {
		Req    uint64
		Status Status
	}
	// RunTask starts a task on a machine. The host posts its result as a TaskEnded.
	RunTask struct {
		VM    VM
		Start Start
	}
	// AbandonTask asks a worker to stop a task whose job has ended, for example by a Cancel.
	AbandonTask struct{ Attempt uint64 }
	// PollUsage reads the resource usage of the tasks of a worker. The host posts it as a Usage.
	PollUsage struct{ VM VM }
	// Send sends a message to a peer. To.Epoch is 0 if it is not known yet; see
	// Message.ForAnyEpoch for the messages that may be sent so.
	//
	// Messages to one peer arrive in order, except those marked Unordered, which do not wait
	// behind the others.
	Send struct {
		To        Incarnation
		Addr      netip.AddrPort
		Message   Message
		Unordered bool
		// Bulk messages may be large and are not urgent. They have a queue and connections of their own,
		// so that they neither delay the other messages nor are given up with them.
		Bulk bool
	}
	// StoreGet reads a key of the platform's store.
	StoreGet struct {
		ID  uint64
		Key string
	}
	// StoreCreate writes a key that must not exist yet. The key expires after TTL.
	StoreCreate struct {
		ID    uint64
		Key   string
		Value []byte
		TTL   time.Duration
	}
	// SetWatch turns the watch on the platform's store on or off.
	SetWatch struct{ On bool }
	// CountReason adds N to the counter of a reason: that of retries if Retry is set, else that
	// of refusals.
	CountReason struct {
		Reason Reason
		Retry  bool
		N      int
	}
	// Log writes one log line of key=value pairs.
	Log struct {
		Event string
		Pairs []any
	}
	// Stopped reports that the graceful shutdown is complete.
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

// Request returns the number of the answered request.
func (r Reply) Request() uint64 { return r.Req }

// Request returns the number of the answered request.
func (r ReplyTickets) Request() uint64 { return r.Req }

// Request returns the number of the answered request.
func (r ReplyProfileStatus) Request() uint64 { return r.Req }

// Request returns the number of the answered request.
func (r ReplyProfiles) Request() uint64 { return r.Req }

// Request returns the number of the answered request.
func (r ReplyStatus) Request() uint64 { return r.Req }
