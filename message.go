package cornelwall

import (
	"errors"
	"fmt"
	"net/netip"
)

// Envelope is a batch of messages from one incarnation to another. A receiver of
// another life than To refuses all of them but beats. An envelope without a life
// carries only messages that any life may answer.
type Envelope struct {
	From     Incarnation `json:"from"`
	To       Incarnation `json:"to"` // life 0: whoever has the address
	Messages []Message   `json:"messages"`
}

const maxMessages = 1 << 14

// Check reports all that is wrong with the envelope.
func (e *Envelope) Check() error {
	errs := []error{e.From.Check()}
	if len(e.Messages) > maxMessages {
		errs = append(errs, fmt.Errorf("envelope has %d messages; send at most %d", len(e.Messages), maxMessages))
	}
	for i := range e.Messages {
		if err := e.Messages[i].Check(); err != nil {
			errs = append(errs, fmt.Errorf("messages[%d]: %w", i, err))
		}
		if e.To.Life == 0 && e.Messages[i] != (Message{}) && !e.Messages[i].ForAnyLife() {
			errs = append(errs, fmt.Errorf("messages[%d] names no life; only a beat or an ask may", i))
		}
	}
	return errors.Join(errs...)
}

// Message is one of its fields; all others are nil. A message of a kind that this
// version does not know has no field set, and is ignored, so that entries of two versions
// can serve together while one takes the place of the other.
type Message struct {
	Beat      *Beat      `json:"beat,omitempty"`
	Wrong     *Wrong     `json:"wrong,omitempty"`
	Forward   *Forward   `json:"forward,omitempty"`
	Back      *Back      `json:"back,omitempty"`
	Want      *Want      `json:"want,omitempty"`
	Loan      *Loan      `json:"loan,omitempty"`
	Return    *Return    `json:"return,omitempty"`
	Adopt     *Adopt     `json:"adopt,omitempty"`
	Versions  *Versions  `json:"versions,omitempty"`
	Catalog   *Profiles  `json:"catalog,omitempty"`
	Ask       *Ask       `json:"ask,omitempty"`
	Told      *Told      `json:"told,omitempty"`
	Heirs     *Heirs     `json:"heirs,omitempty"`
	Inherit   *Inherit   `json:"inherit,omitempty"`
	Inherited *Inherited `json:"inherited,omitempty"`
	Seek      *Seek      `json:"seek,omitempty"`
	Sought    *Sought    `json:"sought,omitempty"`
	Pulse     *Pulse     `json:"pulse,omitempty"`
	Assign    *Assign    `json:"assign,omitempty"`
	Boost     *Boost     `json:"boost,omitempty"`
	Withdraw  *Withdraw  `json:"withdraw,omitempty"`
	Over      *Over      `json:"over,omitempty"`
	Began     *Began     `json:"began,omitempty"`
	Taken     *Taken     `json:"taken,omitempty"`
	Handover  *Handover  `json:"handover,omitempty"`
	Decline   *Decline   `json:"decline,omitempty"`
	Claim     *Claim     `json:"claim,omitempty"`
	Known     *Known     `json:"known,omitempty"`
	Declare   *Declare   `json:"declare,omitempty"`
	Revoke    *Revoke    `json:"revoke,omitempty"`
}

// ForAnyLife reports whether the message may be sent to an entry whose life is not
// known: it starts nothing and changes nothing.
func (m *Message) ForAnyLife() bool { return m.Beat != nil || m.Ask != nil || m.Pulse != nil }

// Check reports all that is wrong with the message.
func (m *Message) Check() error {
	n := 0
	count := func(set bool) {
		if set {
			n++
		}
	}
	count(m.Beat != nil)
	count(m.Wrong != nil)
	count(m.Forward != nil)
	count(m.Back != nil)
	count(m.Want != nil)
	count(m.Loan != nil)
	count(m.Return != nil)
	count(m.Adopt != nil)
	count(m.Versions != nil)
	count(m.Catalog != nil)
	count(m.Ask != nil)
	count(m.Told != nil)
	count(m.Heirs != nil)
	count(m.Inherit != nil)
	count(m.Inherited != nil)
	count(m.Seek != nil)
	count(m.Sought != nil)
	count(m.Pulse != nil)
	count(m.Assign != nil)
	count(m.Boost != nil)
	count(m.Withdraw != nil)
	count(m.Over != nil)
	count(m.Began != nil)
	count(m.Taken != nil)
	count(m.Handover != nil)
	count(m.Decline != nil)
	count(m.Claim != nil)
	count(m.Known != nil)
	count(m.Declare != nil)
	count(m.Revoke != nil)
	if n > 1 {
		return fmt.Errorf("message has %d kinds; send exactly one", n)
	}
	switch {
	case m.Forward != nil:
		return m.Forward.Check()
	case m.Back != nil:
		return m.Back.Answer.Check()
	case m.Want != nil:
		return m.Want.Check()
	case m.Beat != nil && !m.Beat.Addr.IsValid():
		return errors.New("beat has no address; send ip:port of the peers' listener")
	case m.Loan != nil:
		return checkRange("loan count", m.Loan.Count, 0, maxLoan)
	case m.Return != nil:
		return checkRange("return count", m.Return.Count, 0, maxLoan)
	case m.Catalog != nil:
		return m.Catalog.Check()
	case m.Wrong != nil:
		return m.Wrong.Meant.Check()
	case m.Heirs != nil:
		return checkHeirs(m.Heirs.Heirs)
	case m.Inherit != nil:
		return m.Inherit.Check()
	case m.Inherited != nil:
		return m.Inherited.Of.Check()
	case m.Seek != nil:
		return m.Seek.Of.Check()
	case m.Sought != nil:
		return errors.Join(m.Sought.Of.Check(), checkHeirs(m.Sought.Heirs))
	case m.Pulse != nil:
		return m.Pulse.Check()
	case m.Assign != nil:
		return m.Assign.Check()
	case m.Boost != nil:
		return CheckRuns(m.Boost.Runs)
	case m.Withdraw != nil:
		return CheckRuns(m.Withdraw.Runs)
	case m.Over != nil:
		return m.Over.Check()
	case m.Began != nil:
		return CheckRuns(m.Began.Runs)
	case m.Handover != nil:
		return m.Handover.Check()
	case m.Known != nil:
		return m.Known.Check()
	case m.Declare != nil:
		return m.Declare.Check()
	}
	return nil
}

// Beat is a heartbeat. Addr is where the sender listens for peers, as the VM list may
// lag.
type Beat struct {
	Addr    netip.AddrPort `json:"addr"`
	Leaving bool           `json:"leaving,omitempty"` // the sender is stopping
	Digest  uint64         `json:"digest"`            // of the versions of all profiles
	Fresh   bool           `json:"fresh,omitempty"`   // the sender has fresh word of the platform
	Watcher bool           `json:"watcher,omitempty"` // the sender watches the platform's service
	Answer  bool           `json:"answer,omitempty"`  // sent in answer to a beat
	Room    Room           `json:"room,omitzero"`     // of the machines whose home the sender is
	Probe   uint64         `json:"probe,omitempty"`   // number to send back as Echo, 0 if none
	Echo    uint64         `json:"echo,omitempty"`    // the Probe that this answers
}

// Wrong tells the sender that an envelope was meant for another life of this entry,
// and that nothing in it was done.
type Wrong struct {
	Meant Incarnation `json:"meant"`
}

// Versions is the version of each profile that the sender has. The receiver sends
// what it has newer.
type Versions struct {
	Have map[string]uint64 `json:"have"`
}

// Profiles carries profiles with their versions.
type Profiles struct {
	Profiles []Profile `json:"profiles"`
}

// Check reports all that is wrong with the profiles.
func (p *Profiles) Check() error {
	var errs []error
	for i := range p.Profiles {
		errs = append(errs, p.Profiles[i].Check())
	}
	return errors.Join(errs...)
}

// Ask asks for the version of a profile that is in force at the receiver.
type Ask struct {
	Req  uint64 `json:"req"`
	Name string `json:"name"`
}

// Told answers an Ask.
type Told struct {
	Req   uint64 `json:"req"`
	Force Force  `json:"force"`
}
