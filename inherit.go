package cornelwall

import (
	"errors"
	"fmt"
)

// Successions tells which incarnations have closed and who answers for them.
type Successions struct {
	Successions []Succession `json:"heirs"`
}

// Succession names an entry that answers for a closed incarnation. Since is the time since
// the close.
type Succession struct {
	Predecessor Incarnation `json:"of"`
	Successor   Incarnation `json:"heir"`
	Since       Duration    `json:"since,omitempty"`
}

func checkSuccessions(hs []Succession) error {
	var errs []error
	for i, h := range hs {
		err := errors.Join(h.Predecessor.Check(), h.Successor.Check())
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

// RecordTransfer is one part of the complete table of a closed incarnation. Closed is
// the time from the incarnation's start to its close, Since the time passed since
// then. A sender cuts a table into the same parts however often it sends them.
type RecordTransfer struct {
	Predecessor Incarnation `json:"of"`
	ClosedAfter Duration    `json:"closed"`
	Since       Duration    `json:"since"`
	Part        int         `json:"part"`
	Parts       int         `json:"parts"`
	Records     []Record    `json:"records"`
}

const maxTransferParts = 1 << 16

// Check reports all that is wrong with the part.
func (in *RecordTransfer) Check() error {
	errs := []error{
		in.Predecessor.Check(),
		checkRange("inherit parts", in.Parts, 1, maxTransferParts),
		checkRange("inherit part", in.Part, 0, in.Parts-1),
	}
	if in.ClosedAfter < 0 || in.Since < 0 {
		errs = append(errs, fmt.Errorf("inherit has closed %s and since %s; neither can be negative", in.ClosedAfter, in.Since))
	}
	for i := range in.Records {
		a := &in.Records[i].Answer
		if err := a.Check(); err != nil {
			errs = append(errs, fmt.Errorf("records[%d]: %w", i, err))
		}
		if !a.Final || a.Ticket.Owner != in.Predecessor {
			errs = append(errs, fmt.Errorf("records[%d] is not a final outcome of %s; send the records of one closed incarnation", i, in.Predecessor))
		}
	}
	return errors.Join(errs...)
}

// RecordTransferAck confirms that a part of a table has arrived. Whole says that every part
// has, Full that the table needs more memory than the receiver has and was dropped.
type RecordTransferAck struct {
	Predecessor Incarnation `json:"of"`
	Part        int         `json:"part"`
	Complete    bool        `json:"whole,omitempty"`
	OutOfMemory bool        `json:"full,omitempty"`
}

// SuccessorQuery asks what the receiver knows of an incarnation that does not answer the sender.
type SuccessorQuery struct {
	Incarnation Incarnation `json:"of"`
}

// SuccessorReply answers a Seek: whether the receiver hears the incarnation, and who answers
// for it if it has closed.
type SuccessorReply struct {
	Incarnation Incarnation  `json:"of"`
	Alive       bool         `json:"alive,omitempty"`
	Successions []Succession `json:"heirs,omitempty"`
}
