package cornelwall

import "time"

// Events of a core that dispatches to leased endpoints.
type (
	// SubmitBatch asks to run a batch and to be told its end.
	SubmitBatch struct {
		Req   uint64
		Host  string
		Path  string // of the queue and the batch
		Batch *BatchJob
		Left  time.Duration // to the caller's deadline; 0 takes the timeout of the queue
	}
	// CancelBatch gives up a batch.
	CancelBatch struct {
		Req uint64
		ID  string
	}
	// FetchBatch asks for the state of a batch.
	FetchBatch struct {
		Req uint64
		ID  string
	}
	// CountWaiting asks for the number of batches of a queue that have not begun.
	CountWaiting struct {
		Req  uint64
		Host string
		Path string
	}
	// Endpoints is all endpoints that the platform lists, as of a revision of its store.
	Endpoints struct {
		List []Endpoint
		Rev  int64
	}
	// Members is all entries that announced themselves with the platform.
	Members struct{ List []Member }
	// Declared is a declaration that was read from the platform.
	Declared struct{ Declaration *Declaration }
	// PlatformLost says that the platform has not answered for a while.
	PlatformLost struct{}
	// Looked answers a Look.
	Looked struct {
		Endpoint string
		Fence    uint64
		Number   uint64 // of the Look
		Refusal  Refusal
		Boot     int64         // start of the endpoint in milliseconds since 1970
		Clock    time.Duration // steady clock of the endpoint as it answered
		Running  []RunState
		Ended    []RunEnded
	}
	// Ordered answers a StartRun or a StopRun.
	Ordered struct {
		Endpoint string
		Fence    uint64
		Run      RunID
		Stop     bool
		Refusal  Refusal
		Clock    time.Duration // 0 if the endpoint did not tell it
	}
)

func (SubmitBatch) isEvent()  {}
func (CancelBatch) isEvent()  {}
func (FetchBatch) isEvent()   {}
func (CountWaiting) isEvent() {}
func (Endpoints) isEvent()    {}
func (Members) isEvent()      {}
func (Declared) isEvent()     {}
func (PlatformLost) isEvent() {}
func (Looked) isEvent()       {}
func (Ordered) isEvent()      {}

// Commands of a core that dispatches to leased endpoints.
type (
	// ReplyBatch ends a SubmitBatch or a CancelBatch.
	ReplyBatch struct {
		Req    uint64
		Answer BatchAnswer
	}
	// ReplyState ends a FetchBatch. Known is false if there is no such batch.
	ReplyState struct {
		Req     uint64
		Known   bool
		Running bool
	}
	// ReplyWaiting ends a CountWaiting. Known is false if there is no such queue.
	ReplyWaiting struct {
		Req   uint64
		Known bool
		Count int
	}
	// Look extends the lease on an endpoint, acknowledges ends and asks what runs there.
	Look struct {
		Endpoint Endpoint
		Fence    uint64
		Number   uint64        // of the looks at the endpoint, in the order in which they were ordered
		Until    time.Duration // new end of the lease on the endpoint's clock; 0 extends nothing
		Acked    int64         // greatest number of the ends that were taken in
		Wait     time.Duration // for an end to come
	}
	// StartRun starts a run.
	StartRun struct {
		Endpoint Endpoint
		Fence    uint64
		Run      RunID
		Spec     string
		Until    time.Duration // end of the lease on the endpoint's clock
	}
	// StopRun stops a run, or keeps it from starting later.
	StopRun struct {
		Endpoint Endpoint
		Fence    uint64
		Run      RunID
	}
	// ReadEndpoints tells how often the list of endpoints is to be read; Now asks for one
	// reading at once.
	ReadEndpoints struct {
		Every time.Duration
		Now   bool
	}
	// SetReady tells the balancer whether the entry takes requests.
	SetReady struct{ Ready bool }
	// Withdrawn takes the announcement of the entry back, as it is about to stop.
	Withdrawn struct{}
)

func (ReplyBatch) isCommand()    {}
func (ReplyState) isCommand()    {}
func (ReplyWaiting) isCommand()  {}
func (Look) isCommand()          {}
func (StartRun) isCommand()      {}
func (StopRun) isCommand()       {}
func (ReadEndpoints) isCommand() {}
func (SetReady) isCommand()      {}
func (Withdrawn) isCommand()     {}

// Request returns the request that is ended.
func (r ReplyBatch) Request() uint64 { return r.Req }

// Request returns the request that is ended.
func (r ReplyState) Request() uint64 { return r.Req }

// Request returns the request that is ended.
func (r ReplyWaiting) Request() uint64 { return r.Req }
