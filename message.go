package cornelwall

import (
	"errors"
	"fmt"
	"net/netip"
)

// Envelope carries messages from one incarnation to another. A receiver with another epoch
// than To refuses all of them except heartbeats. An envelope to epoch 0 may carry only
// messages for which ForAnyEpoch is true.
type Envelope struct {
	From     Incarnation `json:"from"`
	To       Incarnation `json:"to"` // epoch 0: whichever incarnation has the address
	Messages []Message   `json:"messages"`
}

const maxMessages = 1 << 14

// Check reports every problem with the envelope.
func (e *Envelope) Check() error {
	errs := []error{e.From.Check()}
	if len(e.Messages) > maxMessages {
		errs = append(errs, fmt.Errorf("envelope has %d messages; send at most %d", len(e.Messages), maxMessages))
	}
	for i := range e.Messages {
		if err := e.Messages[i].Check(); err != nil {
			errs = append(errs, fmt.Errorf("messages[%d]: %w", i, err))
		}
		if e.To.Epoch == 0 && e.Messages[i] != (Message{}) && !e.Messages[i].ForAnyEpoch() {
			errs = append(errs, fmt.Errorf("messages[%d] names no life; only a heartbeat or a version query may be sent without", i))
		}
	}
	return errors.Join(errs...)
}

// Message is a union: exactly one field is set. A message of a kind that this version does
// not know has no field set and is ignored, so that entries of two versions can run side by
// side during an upgrade.
type Message struct {
	Heartbeat         *Heartbeat         `json:"beat,omitempty"`
	WrongIncarnation  *WrongIncarnation  `json:"wrong,omitempty"`
	Forward           *Forward           `json:"forward,omitempty"`
	ForwardReply      *ForwardReply      `json:"back,omitempty"`
	LoanRequest       *LoanRequest       `json:"want,omitempty"`
	Loan              *Loan              `json:"loan,omitempty"`
	LoanReturn        *LoanReturn        `json:"return,omitempty"`
	TakeOwnership     *TakeOwnership     `json:"adopt,omitempty"`
	Versions          *Versions          `json:"versions,omitempty"`
	Profiles          *Profiles          `json:"catalog,omitempty"`
	VersionQuery      *VersionQuery      `json:"ask,omitempty"`
	VersionReply      *VersionReply      `json:"told,omitempty"`
	Successions       *Successions       `json:"heirs,omitempty"`
	RecordTransfer    *RecordTransfer    `json:"inherit,omitempty"`
	RecordTransferAck *RecordTransferAck `json:"inherited,omitempty"`
	SuccessorQuery    *SuccessorQuery    `json:"seek,omitempty"`
	SuccessorReply    *SuccessorReply    `json:"sought,omitempty"`
	SessionHeartbeat  *SessionHeartbeat  `json:"pulse,omitempty"`
	Assign            *Assign            `json:"assign,omitempty"`
	BatchProgress     *BatchProgress     `json:"boost,omitempty"`
	Withdraw          *Withdraw          `json:"withdraw,omitempty"`
	RunResults        *RunResults        `json:"over,omitempty"`
	RunsStarted       *RunsStarted       `json:"began,omitempty"`
	RunsKnown         *RunsKnown         `json:"agreed,omitempty"`
	EndpointAcquired  *EndpointAcquired  `json:"taken,omitempty"`
	Handover          *Handover          `json:"handover,omitempty"`
	HandoverDecline   *HandoverDecline   `json:"decline,omitempty"`
	HandoverRequest   *HandoverRequest   `json:"claim,omitempty"`
	EndpointUpdate    *EndpointUpdate    `json:"known,omitempty"`
	QueueConfigSync   *QueueConfigSync   `json:"declare,omitempty"`
	BatchCancellation *BatchCancellation `json:"revoke,omitempty"`
	CrashReport       *CrashReport       `json:"crash,omitempty"`

	Cancellations      *Cancellations      `json:"cancels,omitempty"`
	CancellationsKept  *CancellationsKept  `json:"cancelled,omitempty"`
	CancellationQuery  *CancellationQuery  `json:"askcancels,omitempty"`
	CancellationAnswer *CancellationAnswer `json:"cancelsknown,omitempty"`

	OwnershipClaims  *OwnershipClaims  `json:"own,omitempty"`
	OwnershipReplies *OwnershipReplies `json:"owned,omitempty"`
	JoinBatch        *JoinBatch        `json:"join,omitempty"`
	LeaveBatch       *LeaveBatch       `json:"leave,omitempty"`
	JoinReply        *JoinReply        `json:"joined,omitempty"`
}

// ForAnyEpoch reports whether the message may be sent to an entry whose epoch is not known. Such
// a message starts no task and changes no job, whichever incarnation receives it.
func (m *Message) ForAnyEpoch() bool {
	return m.Heartbeat != nil || m.VersionQuery != nil || m.SessionHeartbeat != nil
}

// Check reports every problem with the message.
func (m *Message) Check() error {
	n := 0
	count := func(set bool) {
		if set {
			n++
		}
	}
	count(m.Heartbeat != nil)
	count(m.WrongIncarnation != nil)
	count(m.Forward != nil)
	count(m.ForwardReply != nil)
	count(m.LoanRequest != nil)
	count(m.Loan != nil)
	count(m.LoanReturn != nil)
	count(m.TakeOwnership != nil)
	count(m.Versions != nil)
	count(m.Profiles != nil)
	count(m.VersionQuery != nil)
	count(m.VersionReply != nil)
	count(m.Successions != nil)
	count(m.RecordTransfer != nil)
	count(m.RecordTransferAck != nil)
	count(m.SuccessorQuery != nil)
	count(m.SuccessorReply != nil)
	count(m.SessionHeartbeat != nil)
	count(m.Assign != nil)
	count(m.BatchProgress != nil)
	count(m.Withdraw != nil)
	count(m.RunResults != nil)
	count(m.RunsStarted != nil)
	count(m.RunsKnown != nil)
	count(m.EndpointAcquired != nil)
	count(m.Handover != nil)
	count(m.HandoverDecline != nil)
	count(m.HandoverRequest != nil)
	count(m.EndpointUpdate != nil)
	count(m.QueueConfigSync != nil)
	count(m.BatchCancellation != nil)
	count(m.CrashReport != nil)
	count(m.Cancellations != nil)
	count(m.CancellationsKept != nil)
	count(m.CancellationQuery != nil)
	count(m.CancellationAnswer != nil)
	count(m.OwnershipClaims != nil)
	count(m.OwnershipReplies != nil)
	count(m.JoinBatch != nil)
	count(m.LeaveBatch != nil)
	count(m.JoinReply != nil)
	if n > 1 {
		return fmt.Errorf("message has %d kinds; send exactly one", n)
	}
	switch {
	case m.Forward != nil:
		return m.Forward.Check()
	case m.ForwardReply != nil:
		return m.ForwardReply.Answer.Check()
	case m.LoanRequest != nil:
		return m.LoanRequest.Check()
	case m.Heartbeat != nil:
		return m.Heartbeat.Check()
	case m.Loan != nil:
		return checkRange("loan count", m.Loan.Count, 0, maxLoan)
	case m.LoanReturn != nil:
		return checkRange("loan return count", m.LoanReturn.Count, 0, maxLoan)
	case m.Profiles != nil:
		return m.Profiles.Check()
	case m.WrongIncarnation != nil:
		return m.WrongIncarnation.Intended.Check()
	case m.Successions != nil:
		return checkSuccessions(m.Successions.Successions)
	case m.RecordTransfer != nil:
		return m.RecordTransfer.Check()
	case m.RecordTransferAck != nil:
		return m.RecordTransferAck.Predecessor.Check()
	case m.SuccessorQuery != nil:
		return m.SuccessorQuery.Incarnation.Check()
	case m.SuccessorReply != nil:
		return errors.Join(m.SuccessorReply.Incarnation.Check(), checkSuccessions(m.SuccessorReply.Successions))
	case m.SessionHeartbeat != nil:
		return m.SessionHeartbeat.Check()
	case m.Assign != nil:
		return m.Assign.Check()
	case m.BatchProgress != nil:
		return CheckRuns(m.BatchProgress.Runs)
	case m.Withdraw != nil:
		return CheckRuns(m.Withdraw.Runs)
	case m.RunResults != nil:
		return m.RunResults.Check()
	case m.RunsStarted != nil:
		return CheckRuns(m.RunsStarted.Runs)
	case m.RunsKnown != nil:
		return CheckRuns(m.RunsKnown.Runs)
	case m.Handover != nil:
		return m.Handover.Check()
	case m.EndpointUpdate != nil:
		return m.EndpointUpdate.Check()
	case m.QueueConfigSync != nil:
		return m.QueueConfigSync.Check()
	case m.CrashReport != nil:
		return m.CrashReport.Check()
	case m.Cancellations != nil:
		return m.Cancellations.Check()
	case m.CancellationAnswer != nil:
		return m.CancellationAnswer.Check()
	case m.OwnershipClaims != nil:
		return m.OwnershipClaims.Check()
	case m.OwnershipReplies != nil:
		return m.OwnershipReplies.Check()
	case m.JoinBatch != nil:
		return m.JoinBatch.Check()
	case m.LeaveBatch != nil:
		return m.LeaveBatch.Check()
	case m.JoinReply != nil:
		return m.JoinReply.Check()
	}
	return nil
}

// Heartbeat is the heartbeat between entries that dispatch to executors and workers; see
// SessionHeartbeat for the one between entries that dispatch to leased endpoints. Addr is
// where the sender listens for peers, since the VM list may lag.
type Heartbeat struct {
	Addr          netip.AddrPort `json:"addr"`
	Leaving       bool           `json:"leaving,omitempty"`  // the sender is stopping
	Digest        uint64         `json:"digest"`             // hash of the content of all profiles
	ProfilesFresh bool           `json:"fresh,omitempty"`    // makes the receiver's profiles count as fresh, see [Stale]
	Watching      bool           `json:"watcher,omitempty"`  // the sender watches the platform's store
	IsReply       bool           `json:"answer,omitempty"`   // sent in reply to a heartbeat
	Capacity      Capacity       `json:"room,omitzero"`      // capacity of the machines that the sender owns
	Probe         uint64         `json:"probe,omitempty"`    // random number to return as Echo, see core/member; 0 if none
	Echo          uint64         `json:"echo,omitempty"`     // Probe of the heartbeat that this one answers
	Draining      []DrainNotice  `json:"draining,omitempty"` // of machines that the sender's VM list shows as live
}

// Check returns an error that joins all problems of the heartbeat.
func (hb *Heartbeat) Check() error {
	errs := []error{checkRange("number of drain notices", len(hb.Draining), 0, MaxDrainNotices)}
	if !hb.Addr.IsValid() {
		errs = append(errs, errors.New("heartbeat has no address; send ip:port of the peers' listener"))
	}
	for i := range hb.Draining {
		errs = append(errs, hb.Draining[i].Check())
	}
	return errors.Join(errs...)
}

// WrongIncarnation tells the sender that an envelope was addressed to another incarnation of
// this entry, and that none of its messages was carried out.
type WrongIncarnation struct {
	Intended Incarnation `json:"meant"`
}

// Versions lists the version of each profile that the sender has. The receiver sends the
// profiles of which it has newer versions.
type Versions struct {
	Have map[string]uint64 `json:"have"`
}

// Profiles carries profiles, which include their versions.
type Profiles struct {
	Profiles []Profile `json:"profiles"`
}

// Check reports every problem with the profiles.
func (p *Profiles) Check() error {
	var errs []error
	for i := range p.Profiles {
		errs = append(errs, p.Profiles[i].Check())
	}
	return errors.Join(errs...)
}

// VersionQuery requests the version of a profile that is in force at the receiver.
type VersionQuery struct {
	Req  uint64 `json:"req"`
	Name string `json:"name"`
}

// VersionReply answers a VersionQuery.
type VersionReply struct {
	Req    uint64        `json:"req"`
	Status ProfileStatus `json:"force"`
}
