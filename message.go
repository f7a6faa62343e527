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
}

// ForAnyLife reports whether the message may be sent to an entry whose life is not
// known: it starts nothing and changes nothing.
func (m *Message) ForAnyLife() bool { return m.Beat != nil || m.Ask != nil }

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
	}
	return nil
}

const maxLoan = 1 << 16

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

// Deed is what a forwarded request asks for.
type Deed int

const (
	// DeedSubmit asks to run a job.
	DeedSubmit Deed = iota
	// DeedFetch asks for the state of a job.
	DeedFetch
	// DeedWait asks for the end of a job.
	DeedWait
	// DeedCancel gives up a job.
	DeedCancel
)

// Forward is a caller's request on its way to the owner of the ticket or its heir.
type Forward struct {
	Req    uint64 `json:"req"` // of the sender
	Deed   Deed   `json:"deed"`
	Ticket Ticket `json:"ticket"`
	Job    *Job   `json:"job,omitempty"` // of a submission
	// Digest is that of the job if the request asks after the answer to a submission.
	Digest uint64 `json:"digest,omitempty"`
}

// Check reports all that is wrong with the request.
func (f *Forward) Check() error {
	err := errors.Join(f.Ticket.Check(), checkRange("deed", int(f.Deed), int(DeedSubmit), int(DeedCancel)))
	if f.Deed != DeedSubmit {
		return err
	}
	if f.Job == nil {
		return errors.Join(err, errors.New("forwarded submission has no job; send the job"))
	}
	if f.Job.Ticket != f.Ticket {
		err = errors.Join(err, errors.New("forwarded job has another ticket; send one ticket"))
	}
	return errors.Join(err, f.Job.Check())
}

// Back is the answer to a Forward.
type Back struct {
	Req    uint64 `json:"req"`
	Answer Answer `json:"answer"`
}

// Want is how many tasks of one need wait at the sender for machines of the receiver.
// It replaces the sender's last word for the need.
type Want struct {
	Need  Need     `json:"need,omitzero"`
	Count int      `json:"count"`
	Class Class    `json:"class"`
	Age   Duration `json:"age"`            // of the job that goes first, less what its size costs it
	Life  Duration `json:"life,omitempty"` // how long the want stands; 0: what is free now or nothing
	Free  int      `json:"free,omitempty"` // slots that are free at the sender's own executors
}

// Check reports all that is wrong with the want.
func (w *Want) Check() error {
	return errors.Join(w.Need.Check(), checkRange("want count", w.Count, 0, 1<<30))
}

// Loan gives the receiver the use of a part of a machine, Count times the need,
// until it returns it. Total and Back make a lost or doubled message harmless: they
// are what the home has lent so far and what it has been given back, in a series.
// A loan with Count 0 only repeats them.
type Loan struct {
	Machine string   `json:"machine"`
	Need    Need     `json:"need,omitzero"`
	Count   int      `json:"count"`
	Series  uint64   `json:"series"`
	Total   uint64   `json:"total"`
	Back    uint64   `json:"back"`
	Life    Duration `json:"life"`           // for how long new tasks may start on it
	Free    int      `json:"free,omitempty"` // slots that are still free at the home
}

// Return ends Count loans; Total is the number that the sender has returned in the
// series. The other numbers tell the home how starts on the machine have ended since
// the last word.
type Return struct {
	Machine  string `json:"machine"`
	Need     Need   `json:"need,omitzero"`
	Count    int    `json:"count"`
	Series   uint64 `json:"series"`
	Total    uint64 `json:"total"`
	Using    int    `json:"using,omitempty"` // parts in use, in answer to an Adopt
	Done     int    `json:"done,omitempty"`
	Fail     int    `json:"fail,omitempty"` // failures that are not the job's own
	Busy     int    `json:"busy,omitempty"` // starts that were refused
	Lost     int    `json:"lost,omitempty"` // starts that met no connection
	Pace     int    `json:"pace,omitempty"` // run times of the tasks done to the expected ones, in percent, summed up
	Draining bool   `json:"draining,omitempty"`
	Free     int    `json:"free,omitempty"` // slots that are free at the sender's own executors
}

// Adopt tells that the sender is the home of the machines from now on, and asks who
// uses them. What the receiver holds of them continues as the series given.
type Adopt struct {
	Series   uint64   `json:"series"`
	Machines []string `json:"machines"`
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

// Heirs tells which incarnations have closed and who answers for them.
type Heirs struct {
	Heirs []Heir `json:"heirs"`
}

// Heir names an entry that answers for a closed incarnation. Since is the time since
// the close.
type Heir struct {
	Of    Incarnation `json:"of"`
	Heir  Incarnation `json:"heir"`
	Since Duration    `json:"since,omitempty"`
}

func checkHeirs(hs []Heir) error {
	var errs []error
	for i, h := range hs {
		err := errors.Join(h.Of.Check(), h.Heir.Check())
		if h.Since < 0 {
			err = errors.Join(err, fmt.Errorf("since %s is negative; send the time since the close", h.Since))
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("heirs[%d]: %w", i, err))
		}
	}
	return errors.Join(errs...)
}

// Record is the outcome of one ticket of a closed incarnation.
type Record struct {
	Seq    uint64 `json:"seq"`
	Digest uint64 `json:"digest"`
	Answer Answer `json:"answer"`
}

const recordBytes = 128 // of a record or task without its body

// Bytes returns about how much memory the record takes, in bytes.
func (r *Record) Bytes() int {
	size := recordBytes + len(r.Answer.Text)
	for i := range r.Answer.Tasks {
		size += recordBytes + len(r.Answer.Tasks[i].Body)
	}
	return size
}

// Inherit is one part of the complete table of a closed incarnation. Closed is
// the time from the incarnation's start to its close, Since the time passed since
// then. A sender cuts a table into the same parts however often it sends them.
type Inherit struct {
	Of      Incarnation `json:"of"`
	Closed  Duration    `json:"closed"`
	Since   Duration    `json:"since"`
	Part    int         `json:"part"`
	Parts   int         `json:"parts"`
	Records []Record    `json:"records"`
}

const maxParts = 1 << 16

// Check reports all that is wrong with the part.
func (in *Inherit) Check() error {
	errs := []error{
		in.Of.Check(),
		checkRange("inherit parts", in.Parts, 1, maxParts),
		checkRange("inherit part", in.Part, 0, in.Parts-1),
	}
	if in.Closed < 0 || in.Since < 0 {
		errs = append(errs, fmt.Errorf("inherit has closed %s and since %s; neither can be negative", in.Closed, in.Since))
	}
	for i := range in.Records {
		a := &in.Records[i].Answer
		if err := a.Check(); err != nil {
			errs = append(errs, fmt.Errorf("records[%d]: %w", i, err))
		}
		if !a.Final || a.Ticket.Owner != in.Of {
			errs = append(errs, fmt.Errorf("records[%d] is not a final outcome of %s; send the records of one closed incarnation", i, in.Of))
		}
	}
	return errors.Join(errs...)
}

// Inherited confirms that a part of a table has arrived. Whole says that every part
// has, Full that the table needs more memory than the receiver has and was dropped.
type Inherited struct {
	Of    Incarnation `json:"of"`
	Part  int         `json:"part"`
	Whole bool        `json:"whole,omitempty"`
	Full  bool        `json:"full,omitempty"`
}

// Seek asks what the receiver knows of an incarnation that does not answer the sender.
type Seek struct {
	Of Incarnation `json:"of"`
}

// Sought answers a Seek: whether the receiver hears the incarnation, and who answers
// for it if it has closed.
type Sought struct {
	Of    Incarnation `json:"of"`
	Alive bool        `json:"alive,omitempty"`
	Heirs []Heir      `json:"heirs,omitempty"`
}
