package cornelwall

import (
	"net/netip"
	"time"
)

// Events of a core that dispatches batches to leased endpoints.
type (
	// SubmitBatch requests to run a batch; the reply is sent when the batch has ended.
	SubmitBatch struct {
		Req      uint64
		Host     string
		Path     string // names the queue and the batch
		Batch    *BatchJob
		TimeLeft time.Duration // until the caller's deadline when the request arrived; 0 takes Queue.Timeout
		Waited   time.Duration // since the request arrived
	}
	// CancelBatch cancels a batch.
	CancelBatch struct {
		Req uint64
		ID  string
	}
	// FetchBatch requests the state of a batch.
	FetchBatch struct {
		Req uint64
		ID  string
	}
	// CountWaiting requests the number of batches of a queue that have not started.
	CountWaiting struct {
		Req  uint64
		Host string
		Path string
	}
	// EndpointsListed is the platform's list of endpoints at a revision of its store.
	EndpointsListed struct {
		List     []Endpoint
		Revision int64
		AsOf     time.Time // when the read was sent, on the clock of the core; zero counts as now
	}
	// MembersListed is the list of entries that are registered with the platform.
	MembersListed struct{ List []Member }
	// QueueConfigRead is a queue configuration that was read from the platform.
	QueueConfigRead struct{ Config *QueueConfig }
	// QueueConfigFetched reports the end of a FetchQueueConfig.
	QueueConfigFetched struct {
		From   Incarnation
		Result FetchResult
		Config *QueueConfig // set if Result is FetchDone
		Took   time.Duration
	}
	// EvacuationsRead tells which data centres are evacuated as of a revision of the platform's store. Those
	// that are not on the list are not evacuated.
	EvacuationsRead struct {
		List     []Evacuation
		Revision int64
		AsOf     time.Time // when the read was sent, on the clock of the core; zero counts as now
	}
	// CancellationsStored reports the end of a StoreCancellations.
	CancellationsStored struct {
		Number uint64 // as in the command
		Done   bool   // the platform's store has acknowledged the write
	}
	// CancellationsRead reports the end of a ReadCancellations.
	CancellationsRead struct {
		Round uint64 // as in the command
		Done  bool   // the store was read as a whole
		// List has the cancellations that entries have stored. They are at least as old as their age tells.
		List []Cancellation
	}
	// PlatformLost reports that the platform has not answered for a while.
	PlatformLost struct{}
	// PollResult is the result of a PollEndpoint.
	PollResult struct {
		Endpoint string
		Fence    uint64
		Seq      uint64 // as in the PollEndpoint
		Refusal  Refusal
		Boot     int64         // start of the endpoint in milliseconds since 1970
		Clock    time.Duration // monotonic clock of the endpoint when it answered
		Running  []RunState
		Ended    []RunEnded
	}
	// OrderResult is the result of a StartRun or, with Stop, of a StopRun.
	OrderResult struct {
		Endpoint string
		Fence    uint64
		Run      RunID
		Stop     bool
		Refusal  Refusal
		Clock    time.Duration // as in PollResult; 0 if the endpoint did not report it
	}
)

func (SubmitBatch) isEvent()         {}
func (CancelBatch) isEvent()         {}
func (FetchBatch) isEvent()          {}
func (CountWaiting) isEvent()        {}
func (EndpointsListed) isEvent()     {}
func (MembersListed) isEvent()       {}
func (QueueConfigRead) isEvent()     {}
func (QueueConfigFetched) isEvent()  {}
func (EvacuationsRead) isEvent()     {}
func (CancellationsStored) isEvent() {}
func (CancellationsRead) isEvent()   {}
func (PlatformLost) isEvent()        {}
func (PollResult) isEvent()          {}
func (OrderResult) isEvent()         {}

// Commands of a core that dispatches batches to leased endpoints.
type (
	// ReplyBatch answers a SubmitBatch or a CancelBatch.
	ReplyBatch struct {
		Req    uint64
		Answer BatchAnswer
	}
	// ReplyState answers a FetchBatch. Found is false if there is no such batch.
	ReplyState struct {
		Req     uint64
		Found   bool
		Running bool
	}
	// ReplyWaiting answers a CountWaiting. Found is false if there is no such queue or, if RetryAfter is
	// set, none that this entry knows: there may be a newer queue configuration than its own.
	ReplyWaiting struct {
		Req        uint64
		Found      bool
		Count      int
		RetryAfter time.Duration
	}
	// PollEndpoint renews the lease on an endpoint, acknowledges ended runs and reads the runs
	// of the endpoint. It is a long poll: it waits up to MaxWait for a run to end.
	PollEndpoint struct {
		Endpoint   Endpoint
		Fence      uint64
		Seq        uint64        // rises with each poll of the endpoint
		LeaseUntil time.Duration // new end of the lease on the endpoint's clock; 0 renews nothing
		AckedEnd   int64         // highest RunEnded.Seq that has been processed
		MaxWait    time.Duration // for a run to end
	}
	// StartRun starts a run.
	StartRun struct {
		Endpoint   Endpoint
		Fence      uint64
		Run        RunID
		Spec       string
		LeaseUntil time.Duration // end of the lease on the endpoint's clock
		Boot       int64         // the only boot of the endpoint that may get the order; 0 for any
	}
	// StopRun stops a run, or prevents it from starting later.
	StopRun struct {
		Endpoint Endpoint
		Fence    uint64
		Run      RunID
	}
	// ReadEndpoints sets the interval at which the list of endpoints is read; Now requests one
	// read at once.
	ReadEndpoints struct {
		Every time.Duration
		Now   bool
	}
	// FetchQueueConfig asks another entry for its queue configuration if that is newer than version
	// Have. A QueueConfigFetched reports the end, whatever it is.
	FetchQueueConfig struct {
		From Incarnation
		Addr netip.AddrPort
		Have uint64
	}
	// ServeQueueConfig sets the queue configuration that other entries get when they fetch it.
	ServeQueueConfig struct{ Config *QueueConfig }
	// StoreCancellations writes the cancellations of this entry's callers to the platform's store, in place of those that it
	// wrote before. They remain there for Keep at least, and are then removed without a further call. A CancellationsStored
	// reports the end, whatever it is.
	StoreCancellations struct {
		Number uint64 // of the last one
		List   []Cancellation
		Keep   time.Duration
	}
	// ReadCancellations reads the cancellations that all entries have stored. A CancellationsRead reports the end, unless
	// the next ReadCancellations comes first.
	ReadCancellations struct{ Round uint64 }
	// SetReady sets whether the readiness check tells the load balancer that the entry takes
	// requests.
	SetReady struct{ Ready bool }
	// Deregister removes the entry from the platform's list of members before it stops.
	Deregister struct{}
)

func (ReplyBatch) isCommand()         {}
func (ReplyState) isCommand()         {}
func (ReplyWaiting) isCommand()       {}
func (PollEndpoint) isCommand()       {}
func (StartRun) isCommand()           {}
func (StopRun) isCommand()            {}
func (ReadEndpoints) isCommand()      {}
func (FetchQueueConfig) isCommand()   {}
func (ServeQueueConfig) isCommand()   {}
func (StoreCancellations) isCommand() {}
func (ReadCancellations) isCommand()  {}
func (SetReady) isCommand()           {}
func (Deregister) isCommand()         {}

// Request returns the number of the answered request.
func (r ReplyBatch) Request() uint64 { return r.Req }

// Request returns the number of the answered request.
func (r ReplyState) Request() uint64 { return r.Req }

// Request returns the number of the answered request.
func (r ReplyWaiting) Request() uint64 { return r.Req }

//go:generate go tool enumer -type=FetchResult -text -transform=kebab -trimprefix=Fetch -output=fetch_gen.go

// FetchResult is how a FetchQueueConfig ended.
type FetchResult int

const (
	// FetchDone means that a newer configuration has arrived.
	FetchDone FetchResult = iota
	// FetchNoNewer means that the other entry has no newer configuration.
	FetchNoNewer
	// FetchBusy means that the other entry sends its configuration to as many entries as it may at a
	// time; ask another one.
	FetchBusy
	// FetchFailed means that no answer arrived, or no valid one.
	FetchFailed
)
