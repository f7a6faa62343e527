package cornelwall

import (
	"errors"
)

// Deed is the operation that a forwarded request asks the owner of a ticket for.
type Deed int

const (
	// DeedSubmit requests to run a job.
	DeedSubmit Deed = iota
	// DeedFetch requests the state of a job.
	DeedFetch
	// DeedWait requests the final answer of a job.
	DeedWait
	// DeedCancel cancels a job.
	DeedCancel
)

// Forward is a caller's request that is routed to the owner of the ticket or the owner's
// successor.
type Forward struct {
	Req    uint64 `json:"req"` // number of the request at the sender
	Deed   Deed   `json:"deed"`
	Ticket Ticket `json:"ticket"`
	Job    *Job   `json:"job,omitempty"` // set for a submission
	// Digest is the digest of the job if the request asks for the answer to a submission.
	Digest uint64 `json:"digest,omitempty"`
}

// Check reports every problem with the request.
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

// ForwardReply is the answer to a Forward.
type ForwardReply struct {
	Req    uint64 `json:"req"`
	Answer Answer `json:"answer"`
}
