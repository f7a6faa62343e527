package cornelwall

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Member is an entry as it announces itself to the platform and to other entries.
type Member struct {
	ID     Incarnation    `json:"id"`
	Addr   netip.AddrPort `json:"addr"`             // where it listens for peers
	Weight int            `json:"weight,omitempty"` // its capacity relative to other entries
	// KeepsCancellations is set if it keeps records of cancelled batches and confirms Cancellations.
	KeepsCancellations bool `json:"cancels,omitempty"`
	// RecordsOwners is set if it answers OwnershipClaims.
	RecordsOwners bool `json:"owners,omitempty"`
}

// Check reports every problem with the member.
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

// SessionHeartbeat is a heartbeat between entries that dispatch to leased endpoints. Two
// entries exchange heartbeats while one of them wants it, see WantHeartbeats, and along with
// other messages.
//
// The receiver returns Seq as AckedSeq, which proves to the sender that its messages arrive.
// An entry that has not had this proof for some time stops the runs that it started for the other
// entry. As heartbeats may overtake a Withdraw, those that carry proof repeat in Withdrawn what is not known to have
// arrived. It also changes the Session that the other entry must quote, so that messages which
// quote the old one are refused.
type SessionHeartbeat struct {
	Addr           netip.AddrPort `json:"addr"`
	Weight         int            `json:"weight,omitempty"`  // as in Member
	Seq            uint64         `json:"number"`            // increases with each heartbeat to the receiver
	AckedSeq       uint64         `json:"seen"`              // highest Seq that arrived from the receiver
	Session        uint64         `json:"session"`           // the receiver must quote it to assign tasks; 0 to a seed, see IsToSeed
	WantHeartbeats bool           `json:"keep,omitempty"`    // the sender wants heartbeats of the receiver
	ReplyNow       bool           `json:"prove,omitempty"`   // the sender needs a heartbeat at once: its proof is about to expire
	Leaving        bool           `json:"leaving,omitempty"` // the sender is stopping
	Version        uint64         `json:"version"`           // of the queue configuration in force
	MaxFence       uint64         `json:"fence"`             // highest fencing token that the sender knows of
	FreeCapacity   FreeCapacity   `json:"room"`
	PlatformLost   bool           `json:"alone,omitempty"`   // the sender cannot read the platform
	NoEndpointList bool           `json:"ask,omitempty"`     // the sender has no list of endpoints
	SendList       bool           `json:"list,omitempty"`    // the sender asks the receiver for its list of endpoints
	Members        []Member       `json:"members,omitempty"` // in answer to NoEndpointList
	Waiting        map[string]int `json:"waiting,omitempty"` // batches that have not started, by queue
	Slowdown       float64        `json:"pace,omitempty"`    // median of the run time / estimate at its endpoints; 0 if not known
	Withdrawn      []RunID        `json:"revoked,omitempty"` // runs at the receiver that were withdrawn a while ago and whose ends are not known
	Load           *LoadReport    `json:"load,omitempty"`    // nil: nothing new to report

	Evacuations     []Evacuation `json:"evacuated,omitempty"`   // of the data centres that are or were evacuated
	EvacuationsAsOf int64        `json:"evacuatedAt,omitempty"` // revision of the platform's store as of which no others are; 0 if not known
	// KeepsCancellations is set by a stopping sender that records cancellations, as it is no longer on the list of entries,
	// where Member has the same field.
	KeepsCancellations bool `json:"cancels,omitempty"`
	// EvacuationsDoubted is set while the sender has not confirmed its state of the evacuations after a pause of its process.
	EvacuationsDoubted bool `json:"evacuatedUnsure,omitempty"`
}

// IsToSeed reports whether the heartbeat went to the address of a seed, whoever listens there. It has no
// place in the numbers of the heartbeats between two entries.
func (h *SessionHeartbeat) IsToSeed() bool { return h.Session == 0 }

// Check reports every problem with the heartbeat.
func (h *SessionHeartbeat) Check() error {
	if !h.Addr.IsValid() {
		return errors.New("session heartbeat has no address; send ip:port of the peers' listener")
	}
	errs := []error{CheckRuns(h.Withdrawn), CheckEvacuations(h.Evacuations), h.Load.Check()}
	for _, m := range h.Members {
		errs = append(errs, m.Check())
	}
	return errors.Join(errs...)
}

// FreeCapacity is the free capacity of the endpoints that an entry holds.
type FreeCapacity struct {
	Total  int         `json:"total"`            // thousandths of cores of its usable endpoints
	Free   []Resources `json:"free,omitempty"`   // per usable endpoint that has any
	Paces  []int       `json:"paces,omitempty"`  // slowdown of each endpoint in Free, in hundredths; empty from entries that don't place by speed
	Queued []int       `json:"queued,omitempty"` // by priority, see FreeCapacityClasses: work that can end in time, in thousandths of cores times milliseconds
}

// FreeCapacityClasses is the number of priority classes that FreeCapacity distinguishes; all
// lower ones count as the last.
const FreeCapacityClasses = 4

// Assign sends tasks of one batch to an entry that holds endpoints for them.
type Assign struct {
	Session   uint64        `json:"session"`
	Service   string        `json:"service"`
	Spec      string        `json:"spec"`
	DueIn     time.Duration `json:"due"`   // until the batch should have ended; may be negative
	UsefulFor time.Duration `json:"last"`  // until the answer is of little use; may be negative
	Class     int           `json:"class"` // priority of its queue
	Remaining float64       `json:"rest"`  // fraction of the batch's tasks that have not started
	Count     int           `json:"count"` // tasks in the batch, including those at other holders
	Tasks     []AssignTask  `json:"tasks"`
}

// AssignTask is one task of an Assign.
type AssignTask struct {
	RunID
	Need               Resources     `json:"need"`
	Estimate           time.Duration `json:"estimate,omitempty"`
	Requires           string        `json:"requires,omitempty"`
	Rack               string        `json:"rack,omitempty"`
	PerEndpoint        int           `json:"limit,omitempty"`   // tasks of its step on one endpoint at once
	AvoidEndpoint      string        `json:"avoid,omitempty"`   // endpoint on which it failed
	StoppedAsStraggler bool          `json:"patient,omitempty"` // stopped as a straggler once; not stopped as one again
	ReturnIfBusy       bool          `json:"eager,omitempty"`   // return it unless it starts at once: another holder has capacity
	Crashes            int           `json:"crashes,omitempty"` // endpoints that may have crashed under it
}

// Check reports every problem with the message.
func (a *Assign) Check() error {
	var errs []error
	for i := range a.Tasks {
		if err := errors.Join(a.Tasks[i].Check(), a.Tasks[i].Need.Check()); err != nil {
			errs = append(errs, fmt.Errorf("tasks[%d]: %w", i, err))
		}
	}
	return errors.Join(errs...)
}

// Check reports every problem with the task.
func (t *AssignTask) Check() error { return t.RunID.Check() }

// BatchProgress updates an Assign at holders where its tasks wait: the last tasks of an almost finished batch are worth
// more than the first tasks of another, and the tasks that have ended tell how long the others take.
type BatchProgress struct {
	Runs      []RunID         `json:"runs"`
	Remaining float64         `json:"rest"`
	Estimates []time.Duration `json:"estimates,omitempty"` // of Runs, in their order; none if only Remaining is set
	DueIn     time.Duration   `json:"due,omitempty"`       // as in Assign
	UsefulFor time.Duration   `json:"last,omitempty"`      // as in Assign
}

// Withdraw takes assigned tasks back. The holder stops them, and answers each with RunResults
// once it is certain not to run.
type Withdraw struct {
	Runs        []RunID `json:"runs"`
	OnlyWaiting bool    `json:"waiting,omitempty"` // withdraw only tasks that have not started
	// MayHaveStarted is set if the runs were handed over to the receiver with an endpoint. A
	// run that the receiver does not know may have started nevertheless, and gets no answer.
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

// Check reports every problem with the message.
func (r *RunResults) Check() error {
	var errs []error
	for i := range r.Runs {
		if !r.Runs[i].End.IsARunEnd() {
			errs = append(errs, fmt.Errorf("runs[%d].how is %d; upgrade the older entry", i, r.Runs[i].End))
		}
		errs = append(errs, r.Runs[i].RunID.Check())
	}
	return errors.Join(errs...)
}

// RunsStarted tells the owner of tasks on which endpoint they run.
type RunsStarted struct {
	Endpoint string  `json:"endpoint"`
	Fence    uint64  `json:"fence"` // fencing token under which the endpoint is held
	Runs     []RunID `json:"runs"`
	Confirm  bool    `json:"confirm,omitempty"` // the sender has taken the runs over and needs RunsKnown in reply
}

// RunsKnown confirms RunsStarted: the sender, which owns the tasks, counts the receiver as the holder of
// the runs from now on.
type RunsKnown struct {
	Endpoint string  `json:"endpoint"`
	Fence    uint64  `json:"fence"`
	Runs     []RunID `json:"runs"`
}

// EndpointAcquired announces that the sender holds the endpoint from now on and that only the
// runs in Kept continue there. Ended lists the runs that the endpoint reports as ended.
type EndpointAcquired struct {
	Session  uint64      `json:"session"` // as in Assign
	Endpoint string      `json:"endpoint"`
	Fence    uint64      `json:"fence"`
	Kept     []RunID     `json:"kept,omitempty"`
	Ended    []RunResult `json:"ended,omitempty"`
}

// End returns how a run that was not kept has ended.
func (a *EndpointAcquired) End(id RunID) RunEnd {
	for _, r := range a.Ended {
		if r.RunID == id {
			return r.End
		}
	}
	return RunLapsed
}

// Handover offers an endpoint, including the runs on it, to its next holder.
type Handover struct {
	Session  uint64        `json:"session"` // as in Assign
	Endpoint Endpoint      `json:"endpoint"`
	Fence    uint64        `json:"fence"`
	Boot     int64         `json:"boot,omitempty"` // of the endpoint, where the runs are; 0 if the sender doesn't know it
	Offer    uint64        `json:"offer"`          // rises with each offer of the sender
	AckedSeq uint64        `json:"seen,omitempty"` // as in SessionHeartbeat; tells the receiver when the offer was sent at the earliest
	Runs     []HandoverRun `json:"runs,omitempty"`
	Pace     int           `json:"pace,omitempty"`     // slowdown of the endpoint, in hundredths; 0 if not known
	PaceRuns int           `json:"paceRuns,omitempty"` // recent runs that Pace is based on
}

// HandoverDecline declines a Handover or, with Offer 0, a HandoverRequest for an endpoint that
// the sender does not hold.
type HandoverDecline struct {
	Endpoint string `json:"endpoint"`
	Offer    uint64 `json:"offer"` // the declined offer, since the answer to an earlier one may arrive late
	// Holder is an entry that may hold the requested endpoint, if the sender knows of one.
	Holder *Incarnation `json:"holder,omitempty"`
}

// HandoverRequest asks the holder of endpoints to hand them over to the sender.
type HandoverRequest struct {
	Endpoints []string `json:"endpoints"`
}

// EndpointUpdate carries the changes of the platform's list of endpoints between the revisions
// FromRevision and ToRevision of its store, or the whole list if FromRevision is 0.
type EndpointUpdate struct {
	FromRevision int64         `json:"from"`
	ToRevision   int64         `json:"rev"`
	Age          time.Duration `json:"age,omitempty"` // time since the sender's list was certainly up to date
	Endpoints    []Endpoint    `json:"endpoints,omitempty"`
	Removed      []string      `json:"gone,omitempty"` // endpoints that are no longer on the list
	Version      uint64        `json:"version"`        // of the queue configuration in force
}

// Check reports every problem with the message.
func (u *EndpointUpdate) Check() error {
	var errs []error
	if u.FromRevision < 0 || u.ToRevision < u.FromRevision {
		errs = append(errs, fmt.Errorf("endpoint update goes from revision %d to %d; send 0 or more, in order", u.FromRevision, u.ToRevision))
	}
	if u.Age < 0 {
		errs = append(errs, fmt.Errorf("endpoint update has age %s; send 0 or more", u.Age))
	}
	for i := range u.Endpoints {
		errs = append(errs, u.Endpoints[i].Check())
	}
	return errors.Join(errs...)
}

// HandoverRun is a run that continues while its endpoint is handed over.
type HandoverRun struct {
	RunID
	Owner    Incarnation   `json:"owner"`
	Need     Resources     `json:"need"`
	Estimate time.Duration `json:"estimate"`
	Age      time.Duration `json:"age"`               // time since its start
	ProofAge time.Duration `json:"silence,omitempty"` // time since its owner's last proof that it hears the sender
}

// Check reports every problem with the message.
func (h *Handover) Check() error {
	errs := []error{h.Endpoint.Check()}
	if h.Pace < 0 || h.PaceRuns < 0 {
		errs = append(errs, fmt.Errorf("handover has pace %d of %d runs; send 0 or more", h.Pace, h.PaceRuns))
	}
	for i := range h.Runs {
		errs = append(errs, h.Runs[i].RunID.Check(), h.Runs[i].Owner.Check(), h.Runs[i].Need.Check())
	}
	return errors.Join(errs...)
}

// QueueConfigSync is how entries of earlier versions ask each other for the queue configuration. It is
// decoded, so that the other messages of its envelope are handled, and not answered: see
// FetchQueueConfig.
type QueueConfigSync struct {
	Config *QueueConfig `json:"declaration,omitempty"`
}

// Check reports every problem with the message.
func (s *QueueConfigSync) Check() error {
	if s.Config == nil {
		return nil
	}
	return s.Config.Check()
}

// BatchCancellation cancels a batch at the receiver, if it owns the batch. It is not confirmed.
type BatchCancellation struct {
	ID string `json:"id"`
}

// MaxReportedCrashes is the number of crashes that one CrashReport may carry.
const MaxReportedCrashes = 1024

// CrashReport tells of endpoints that have crashed under runs. An endpoint may have crashed because of
// one of the runs there, so that every entry keeps them: the batch of the run may come to any of them
// next.
type CrashReport struct {
	Crashes []RunCrash `json:"crashes"`
}

//go:generate go tool enumer -type=CrashState -text -transform=kebab -trimprefix=Crash -output=crash_gen.go

// CrashState is how certain a crash is. A later state replaces an earlier one of the same find.
type CrashState int

const (
	// CrashSuspected means that the endpoint gave no answer until its lease had expired. It may
	// only be cut off.
	CrashSuspected CrashState = iota
	// CrashConfirmed means that the boot of the endpoint under which the run was started has ended.
	CrashConfirmed
	// CrashWithdrawn means that the crash does not count: the endpoint was only cut off, or the task
	// was done since.
	CrashWithdrawn
)

// RunCrash is the crash of an endpoint under a run.
type RunCrash struct {
	RunID
	Endpoint string        `json:"endpoint"`
	Boot     int64         `json:"boot"`            // of the endpoint, see Endpoint
	Alone    bool          `json:"alone,omitempty"` // no other run was there
	State    CrashState    `json:"state,omitempty"`
	Age      time.Duration `json:"age,omitempty"`  // time since the crash was noticed
	Find     uint64        `json:"find,omitempty"` // rises when a crash that was withdrawn is found anew; a later find replaces each state of an earlier one
}

// Check reports every problem with the message.
func (r *CrashReport) Check() error {
	if len(r.Crashes) > MaxReportedCrashes {
		return fmt.Errorf("crash report has %d crashes; send at most %d", len(r.Crashes), MaxReportedCrashes)
	}
	var errs []error
	for i := range r.Crashes {
		if err := r.Crashes[i].Check(); err != nil {
			errs = append(errs, fmt.Errorf("crashes[%d]: %w", i, err))
		}
	}
	return errors.Join(errs...)
}

// Check reports every problem with the crash.
func (x *RunCrash) Check() error {
	errs := []error{x.RunID.Check()}
	if x.Endpoint == "" || len(x.Endpoint) > maxFieldSize || len(x.Task) > maxFieldSize {
		errs = append(errs, fmt.Errorf("crash of endpoint %.50q under task %.50q is not valid; name both, with at most %d bytes", x.Endpoint, x.Task, maxFieldSize))
	}
	if !x.State.IsACrashState() {
		errs = append(errs, fmt.Errorf("crash has state %d; upgrade the older entry", x.State))
	}
	if x.Age < 0 {
		errs = append(errs, fmt.Errorf("crash has age %s; send 0 or more", x.Age))
	}
	return errors.Join(errs...)
}
