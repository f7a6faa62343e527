package cornelwall

import (
	"errors"
	"fmt"
)

// Successions lists closed incarnations and the entries that answer for them.
type Successions struct {
	Successions []Succession `json:"heirs"`
}

// Succession names the successor of a closed incarnation: the entry, called its heir on the
// wire and in logs, that answers for the tickets of the incarnation after its graceful
// shutdown. Since is the time since the close.
type Succession struct {
	Predecessor Incarnation `json:"of"`
	Successor   Incarnation `json:"heir"`
	Since       Duration    `json:"since,omitempty"`
}

func checkSuccessions(list []Succession) error {
	var errs []error
	for i, s := range list {
		err := errors.Join(s.Predecessor.Check(), s.Successor.Check())
		if s.Since < 0 {
			err = errors.Join(err, fmt.Errorf("since %s is negative; send the time since the incarnation closed", s.Since))
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("heirs[%d]: %w", i, err))
		}
	}
	return errors.Join(errs...)
}

// Record is the final answer for one ticket of a closed incarnation.
type Record struct {
	Seq    uint64 `json:"seq"`
	Digest uint64 `json:"digest"`
	Answer Answer `json:"answer"`
}

const recordBytes = 128 // size of a record or task without its body

// Bytes returns the approximate memory size of the record in bytes.
func (r *Record) Bytes() int {
	size := recordBytes + len(r.Answer.Text)
	for i := range r.Answer.Tasks {
		size += recordBytes + len(r.Answer.Tasks[i].Body)
	}
	return size
}

// RecordTransfer carries one part of the records of a closed incarnation, called its table, to a
// successor. ClosedAfter is the time from the incarnation's start to its close, Since the
// time since the close. A sender divides a table into the same parts each time it sends it.
type RecordTransfer struct {
	Predecessor Incarnation `json:"of"`
	ClosedAfter Duration    `json:"closed"`
	Since       Duration    `json:"since"`
	Part        int         `json:"part"`
	Parts       int         `json:"parts"`
	Records     []Record    `json:"records"`
}

const maxTransferParts = 1 << 16

// Check reports every problem with the part.
func (rt *RecordTransfer) Check() error {
	errs := []error{
		rt.Predecessor.Check(),
		checkRange("inherit parts", rt.Parts, 1, maxTransferParts),
		checkRange("inherit part", rt.Part, 0, rt.Parts-1),
	}
	if rt.ClosedAfter < 0 || rt.Since < 0 {
		errs = append(errs, fmt.Errorf("inherit has closed %s and since %s; neither can be negative", rt.ClosedAfter, rt.Since))
	}
	for i := range rt.Records {
		a := &rt.Records[i].Answer
		if err := a.Check(); err != nil {
			errs = append(errs, fmt.Errorf("records[%d]: %w", i, err))
		}
		if !a.Final || a.Ticket.Owner != rt.Predecessor {
			errs = append(errs, fmt.Errorf("records[%d] is not a final outcome of %s; send the records of one closed incarnation", i, rt.Predecessor))
		}
	}
	return errors.Join(errs...)
}

// RecordTransferAck acknowledges a part of a table. Complete means that all parts have
// arrived, OutOfMemory that the table needs more memory than the receiver has and was dropped.
type RecordTransferAck struct {
	Predecessor Incarnation `json:"of"`
	Part        int         `json:"part"`
	Complete    bool        `json:"whole,omitempty"`
	OutOfMemory bool        `json:"full,omitempty"`
}

// SuccessorQuery asks what the receiver knows about an incarnation that does not answer the
// sender.
type SuccessorQuery struct {
	Incarnation Incarnation `json:"of"`
}

// SuccessorReply answers a SuccessorQuery. Alive means that the replying entry considers the
// incarnation alive; Successions is the chain of its successors if it has closed.
type SuccessorReply struct {
	Incarnation Incarnation  `json:"of"`
	Alive       bool         `json:"alive,omitempty"`
	Successions []Succession `json:"heirs,omitempty"`
}
