package cornelwall

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Member is an entry that announced itself.
type Member struct {
	ID     Incarnation    `json:"id"`
	Addr   netip.AddrPort `json:"addr"`             // for other entries
	Weight int            `json:"weight,omitempty"` // how much it can carry, to compare with others
}

// Check reports all that is wrong with the member.
func (m Member) Check() error {
	errs := []error{m.ID.Check()}
	if !m.Addr.IsValid() {
		errs = append(errs, errors.New("member has no address; announce ip:port"))
	}
	if m.Weight < 0 {
		errs = append(errs, fmt.Errorf("member has weight %d; announce 0 or more", m.Weight))
	}
	return errors.Join(errs...)
}

// SessionHeartbeat is a heartbeat between entries that dispatch to leased endpoints. Pulses flow
// between two entries while one of them wants it, see Keep, and go along with what is
// sent anyway.
//
// The receiver returns Number as Seen, which proves to the sender that its word arrives.
// An entry that no longer gets such proof stops what it runs for the other one and draws
// a new Session, so that no order from before can start anything.
type SessionHeartbeat struct {
	Addr           netip.AddrPort `json:"addr"`
	Weight         int            `json:"weight,omitempty"`  // as of a Member
	Seq            uint64         `json:"number"`            // rises with each pulse of the sender to the receiver
	AckedSeq       uint64         `json:"seen"`              // greatest number of the receiver's pulses that arrived
	Session        uint64         `json:"session"`           // the receiver has to quote it to place tasks at the sender
	WantHeartbeats bool           `json:"keep,omitempty"`    // the sender wants the receiver's pulses
	ReplyNow       bool           `json:"prove,omitempty"`   // the sender needs a pulse at once, as its proof is about to lapse
	Leaving        bool           `json:"leaving,omitempty"` // the sender is stopping
	Version        uint64         `json:"version"`           // of the declaration in force
	MaxFence       uint64         `json:"fence"`             // greatest fence that the sender knows of
	FreeCapacity   FreeCapacity   `json:"room"`
	PlatformLost   bool           `json:"alone,omitempty"`   // the sender cannot read the platform
	NoEndpointList bool           `json:"ask,omitempty"`     // the sender has no list of endpoints
	Members        []Member       `json:"members,omitempty"` // in answer to Ask
	Waiting        map[string]int `json:"waiting,omitempty"` // batches that have not begun, by queue
}

// Check reports all that is wrong with the pulse.
func (p *SessionHeartbeat) Check() error {
	if !p.Addr.IsValid() {
		return errors.New("pulse has no address; send ip:port of the peers' listener")
	}
	var errs []error
	for _, m := range p.Members {
		errs = append(errs, m.Check())
	}
	return errors.Join(errs...)
}

// FreeCapacity is what an entry has free on the endpoints that it holds.
type FreeCapacity struct {
	Total  int         `json:"total"`            // thousandths of cores of its usable endpoints
	Free   []Resources `json:"free,omitempty"`   // of each usable endpoint that has any
	Queued []int       `json:"queued,omitempty"` // by class: thousandths of cores times milliseconds that wait and can end in time
}

// Classes is the number of classes that are told apart in a Vacancy; lower ones count as
// the last.
const FreeCapacityClasses = 4

// Assign hands tasks of one batch to the holder of endpoints.
type Assign struct {
	Session   uint64        `json:"session"`
	Service   string        `json:"service"`
	Spec      string        `json:"spec"`
	DueIn     time.Duration `json:"due"`   // to the time by which it should have ended; may be negative
	UsefulFor time.Duration `json:"last"`  // to the time after which its answer is of little use; may be negative
	Class     int           `json:"class"` // priority of its queue
	Remaining float64       `json:"rest"`  // share of the batch's tasks that have not begun
	Count     int           `json:"count"` // tasks of the batch, those for other holders included
	Tasks     []AssignTask  `json:"tasks"`
}

// AssignTask is one task of a Assign.
type AssignTask struct {
	RunID
	Need               Resources     `json:"need"`
	Estimate           time.Duration `json:"estimate,omitempty"`
	Requires           string        `json:"requires,omitempty"`
	Rack               string        `json:"rack,omitempty"`
	PerEndpoint        int           `json:"limit,omitempty"`   // tasks of its step on one endpoint at once
	AvoidEndpoint      string        `json:"avoid,omitempty"`   // endpoint that it failed on
	StoppedAsStraggler bool          `json:"patient,omitempty"` // it has been stopped as a straggler and is not again
	ReturnIfBusy       bool          `json:"eager,omitempty"`   // it comes back if it cannot start at once, as another holder has room
}

// Check reports all that is wrong with the message.
func (p *Assign) Check() error {
	var errs []error
	for i := range p.Tasks {
		if err := errors.Join(p.Tasks[i].Check(), p.Tasks[i].Need.Check()); err != nil {
			errs = append(errs, fmt.Errorf("tasks[%d]: %w", i, err))
		}
	}
	return errors.Join(errs...)
}

// Check reports all that is wrong with the task.
func (t *AssignTask) Check() error { return t.RunID.Check() }

// BatchProgress tells holders how much of a batch is left, as the last tasks of a batch that is
// mostly done are worth more than the first of another.
type BatchProgress struct {
	Runs      []RunID `json:"runs"`
	Remaining float64 `json:"rest"`
}

// Withdraw takes tasks back. The holder stops them, and answers each with Over once it
// surely does not run.
type Withdraw struct {
	Runs        []RunID `json:"runs"`
	OnlyWaiting bool    `json:"waiting,omitempty"` // only those that have not started
	// Started says that the runs went on with an endpoint that was offered to the receiver.
	// What it knows nothing of may have started all the same, and gets no answer.
	MayHaveStarted bool `json:"started,omitempty"`
}

// RunResults tells the owner of tasks how their runs ended.
type RunResults struct {
	Runs []RunResult `json:"runs"`
}

// RunResult is the end of one run.
type RunResult struct {
	RunID
	End      RunEnd        `json:"how"`
	Endpoint string        `json:"endpoint,omitempty"`
	Took     time.Duration `json:"took,omitempty"`
}

// Check reports all that is wrong with the message.
func (o *RunResults) Check() error {
	var errs []error
	for i := range o.Runs {
		if !o.Runs[i].End.IsARunEnd() {
			errs = append(errs, fmt.Errorf("runs[%d].how is %d; upgrade the older entry", i, o.Runs[i].End))
		}
		errs = append(errs, o.Runs[i].RunID.Check())
	}
	return errors.Join(errs...)
}

// RunsStarted tells the owner of tasks where they run.
type RunsStarted struct {
	Endpoint string  `json:"endpoint"`
	Fence    uint64  `json:"fence"` // under which it is held
	Runs     []RunID `json:"runs"`
}

// EndpointAcquired tells that the sender holds the endpoint from now on and that nothing runs there
// but Kept. Ended is what the endpoint lists as ended.
type EndpointAcquired struct {
	Session  uint64      `json:"session"` // as of an Assign
	Endpoint string      `json:"endpoint"`
	Fence    uint64      `json:"fence"`
	Kept     []RunID     `json:"kept,omitempty"`
	Ended    []RunResult `json:"ended,omitempty"`
}

// End returns how a run ended that was not kept.
func (t *EndpointAcquired) End(id RunID) RunEnd {
	for _, o := range t.Ended {
		if o.RunID == id {
			return o.End
		}
	}
	return RunLapsed
}

// Handover offers an endpoint with what runs there to its next holder.
type Handover struct {
	Session  uint64        `json:"session"` // as of an Assign
	Endpoint Endpoint      `json:"endpoint"`
	Fence    uint64        `json:"fence"`
	Offer    uint64        `json:"offer"` // rises with each offer of the sender
	Runs     []HandoverRun `json:"runs,omitempty"`
}

// HandoverDecline tells that the sender does not take over an endpoint or, with offer 0, that it
// does not hold one that was claimed.
type HandoverDecline struct {
	Endpoint string `json:"endpoint"`
	Offer    uint64 `json:"offer"` // that is declined, as word of an earlier one may come late
	// Holder is who may hold an endpoint that was claimed, if the sender knows of any.
	Holder *Incarnation `json:"holder,omitempty"`
}

// HandoverRequest asks the holder of endpoints to hand them on to the sender.
type HandoverRequest struct {
	Endpoints []string `json:"endpoints"`
}

// EndpointUpdate tells of the platform's list of endpoints. It holds what has changed between the
// revisions From and Rev of the platform's store, or all if From is 0.
type EndpointUpdate struct {
	FromRevision int64      `json:"from"`
	ToRevision   int64      `json:"rev"`
	Endpoints    []Endpoint `json:"endpoints,omitempty"`
	Removed      []string   `json:"gone,omitempty"` // that are no longer on the list
	Version      uint64     `json:"version"`        // of the declaration in force
}

// Check reports all that is wrong with the message.
func (k *EndpointUpdate) Check() error {
	var errs []error
	if k.FromRevision < 0 || k.ToRevision < k.FromRevision {
		errs = append(errs, fmt.Errorf("known goes from revision %d to %d; send 0 or more, in order", k.FromRevision, k.ToRevision))
	}
	for i := range k.Endpoints {
		errs = append(errs, k.Endpoints[i].Check())
	}
	return errors.Join(errs...)
}

// HandoverRun is a run that goes on while its endpoint changes hands.
type HandoverRun struct {
	RunID
	Owner    Incarnation   `json:"owner"`
	Need     Resources     `json:"need"`
	Estimate time.Duration `json:"estimate"`
	Age      time.Duration `json:"age"` // since it started
}

// Check reports all that is wrong with the message.
func (h *Handover) Check() error {
	errs := []error{h.Endpoint.Check()}
	for i := range h.Runs {
		errs = append(errs, h.Runs[i].RunID.Check(), h.Runs[i].Owner.Check(), h.Runs[i].Need.Check())
	}
	return errors.Join(errs...)
}

// QueueConfigSync carries a declaration, or asks for the receiver's if it has none.
type QueueConfigSync struct {
	Config *QueueConfig `json:"declaration,omitempty"`
}

// Check reports all that is wrong with the message.
func (d *QueueConfigSync) Check() error {
	if d.Config == nil {
		return nil
	}
	return d.Config.Check()
}

// BatchCancellation cancels a batch at whichever entry owns it.
type BatchCancellation struct {
	ID string `json:"id"`
}
