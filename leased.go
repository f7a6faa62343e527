package cornelwall

import "time"

// Events of a core that dispatches to leased endpoints.
type (
	// SubmitBatch asks to run a batch and to be told its end.
	SubmitBatch struct {
		Req      uint64
		Host     string
		Path     string // of the queue and the batch
		Batch    *BatchJob
		TimeLeft time.Duration // to the caller's deadline; 0 takes the timeout of the queue
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
	// EndpointsListed is all endpoints that the platform lists, as of a revision of its store.
	EndpointsListed struct {
		List     []Endpoint
		Revision int64
	}
	// MembersListed is all entries that announced themselves with the platform.
	MembersListed struct{ List []Member }
	// QueueConfigRead is a declaration that was read from the platform.
	QueueConfigRead struct{ Config *QueueConfig }
	// PlatformLost says that the platform has not answered for a while.
	PlatformLost struct{}
	// PollResult answers a Look.
	PollResult struct {
		Endpoint string
		Fence    uint64
		Seq      uint64 // of the Look
		Refusal  Refusal
		Boot     int64         // start of the endpoint in milliseconds since 1970
		Clock    time.Duration // steady clock of the endpoint as it answered
		Running  []RunState
		Ended    []RunEnded
	}
	// OrderResult answers a StartRun or a StopRun.
	OrderResult struct {
		Endpoint string
		Fence    uint64
		Run      RunID
		Stop     bool
		Refusal  Refusal
		Clock    time.Duration // 0 if the endpoint did not tell it
	}
)

func (SubmitBatch) isEvent()     {}
func (CancelBatch) isEvent()     {}
func (FetchBatch) isEvent()      {}
func (CountWaiting) isEvent()    {}
func (EndpointsListed) isEvent() {}
func (MembersListed) isEvent()   {}
func (QueueConfigRead) isEvent() {}
func (PlatformLost) isEvent()    {}
func (PollResult) isEvent()      {}
func (OrderResult) isEvent()     {}

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
		Found   bool
		Running bool
	}
	// ReplyWaiting ends a CountWaiting. Known is false if there is no such queue.
	ReplyWaiting struct {
		Req   uint64
		Found bool
		Count int
	}
	// PollEndpoint extends the lease on an endpoint, acknowledges ends and asks what runs there.
	PollEndpoint struct {
		Endpoint     Endpoint
		Fence        uint64
		Seq          uint64        // of the looks at the endpoint, in the order in which they were ordered
		LeaseUntil   time.Duration // new end of the lease on the endpoint's clock; 0 extends nothing
		AckedThrough int64         // greatest number of the ends that were taken in
		MaxWait      time.Duration // for an end to come
	}
	// StartRun starts a run.
	StartRun struct {
		Endpoint   Endpoint
		Fence      uint64
		Run        RunID
		Spec       string
		LeaseUntil time.Duration // end of the lease on the endpoint's clock
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
	// Deregister takes the announcement of the entry back, as it is about to stop.
	Deregister struct{}
)

func (ReplyBatch) isCommand()    {}
func (ReplyState) isCommand()    {}
func (ReplyWaiting) isCommand()  {}
func (PollEndpoint) isCommand()  {}
func (StartRun) isCommand()      {}
func (StopRun) isCommand()       {}
func (ReadEndpoints) isCommand() {}
func (SetReady) isCommand()      {}
func (Deregister) isCommand()    {}

// Request returns the request that is ended.
func (r ReplyBatch) Request() uint64 { return r.Req }

// Request returns the request that is ended.
func (r ReplyState) Request() uint64 { return r.Req }

// Request returns the request that is ended.
func (r ReplyWaiting) Request() uint64 { return r.Req }
