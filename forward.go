package cornelwall

import (
	"errors"
)

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

// ForwardReply is the answer to a Forward.
type ForwardReply struct {
	Req    uint64 `json:"req"`
	Answer Answer `json:"answer"`
}
