package cornelwall

import (
	"net/netip"
	"time"
)

// Command is something that the host does for the core.
type Command interface{ isCommand() }

// Replier is a command that ends a request.
type Replier interface {
	Command
	Request() uint64
}

// Start is one start of one task.
type Start struct {
	Attempt uint64
	Ticket  Ticket
	Index   int // of the task in its job
	Body    []byte
	Need    Need
	Left    time.Duration // time left to the job's deadline
}

// Force tells which version of a profile is in force at one entry.
type Force struct {
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
	// ReplyForce ends an Inspect.
	ReplyForce struct {
		Req   uint64
		Force []Force
	}
	// ReplyCatalog ends a Catalog.
	ReplyCatalog struct {
		Req      uint64
		Profiles []Profile
	}
	// ReplyStatus ends a Describe.
	ReplyStatus struct {
		Req    uint64
		Status Status
	}
	// Run starts a task on a machine. The host reports its end with Ended.
	Run struct {
		VM    VM
		Start Start
	}
	// Abandon asks a worker to stop a task whose job was given up.
	Abandon struct{ Attempt uint64 }
	// Poll asks a worker what its tasks take up. The host reports it with Usage.
	Poll struct{ VM VM }
	// Send hands a message to a peer. To.Life is 0 if it is not known yet; only a
	// Beat or an Ask may be sent so.
	//
	// Messages to one peer arrive in order, but for those that go apart, which nothing
	// else holds up.
	Send struct {
		To      Incarnation
		Addr    netip.AddrPort
		Message Message
		Apart   bool
	}
	// StoreGet reads a key of the platform's service.
	StoreGet struct {
		ID  uint64
		Key string
	}
	// StoreSwap writes a key that must not exist yet, to vanish after Life.
	StoreSwap struct {
		ID    uint64
		Key   string
		Value []byte
		Life  time.Duration
	}
	// Watch turns the watch on the platform's service on or off.
	Watch struct{ On bool }
	// Count adds N to the counter of a reason. Retry tells retries from refusals.
	Count struct {
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

func (Reply) isCommand()        {}
func (ReplyTickets) isCommand() {}
func (ReplyForce) isCommand()   {}
func (ReplyCatalog) isCommand() {}
func (ReplyStatus) isCommand()  {}
func (Run) isCommand()          {}
func (Abandon) isCommand()      {}
func (Poll) isCommand()         {}
func (Send) isCommand()         {}
func (StoreGet) isCommand()     {}
func (StoreSwap) isCommand()    {}
func (Watch) isCommand()        {}
func (Count) isCommand()        {}
func (Log) isCommand()          {}
func (Stopped) isCommand()      {}

// Request returns the request that is ended.
func (r Reply) Request() uint64 { return r.Req }

// Request returns the request that is ended.
func (r ReplyTickets) Request() uint64 { return r.Req }

// Request returns the request that is ended.
func (r ReplyForce) Request() uint64 { return r.Req }

// Request returns the request that is ended.
func (r ReplyCatalog) Request() uint64 { return r.Req }

// Request returns the request that is ended.
func (r ReplyStatus) Request() uint64 { return r.Req }
