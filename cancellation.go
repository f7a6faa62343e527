package cornelwall

import (
	"errors"
	"fmt"
	"time"
)

// MaxCancellations is the number of cancelled batches that an entry keeps, and that one message may carry.
const MaxCancellations = 1 << 15

// Cancellation is the record of a cancelled batch.
type Cancellation struct {
	ID  string        `json:"id"`
	Age time.Duration `json:"age,omitempty"` // time since it was cancelled
}

// Cancellations tells a peer which batches callers of the sender have cancelled. The sender numbers them in order.
type Cancellations struct {
	First uint64         `json:"first"` // number of the first in List
	List  []Cancellation `json:"list"`
}

// Check reports every problem with the message.
func (m *Cancellations) Check() error {
	if m.First == 0 {
		return errors.New("cancellations begin at number 0; numbers begin at 1")
	}
	return checkCancellations(m.List)
}

// CancellationsKept confirms that the sender has recorded the Cancellations of the receiver from First to Last.
type CancellationsKept struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// CancellationQuery asks a peer which batches it knows to be cancelled. The sender may have missed them.
type CancellationQuery struct {
	Round uint64        `json:"round"` // returned in the answer
	Since time.Duration `json:"since"` // how far back
}

// CancellationAnswer answers a CancellationQuery.
type CancellationAnswer struct {
	Round    uint64         `json:"round"`
	Complete bool           `json:"complete,omitempty"` // the sender has missed none itself
	List     []Cancellation `json:"list,omitempty"`
}

// Check reports every problem with the message.
func (m *CancellationAnswer) Check() error { return checkCancellations(m.List) }

func checkCancellations(list []Cancellation) error {
	if len(list) > MaxCancellations {
		return fmt.Errorf("message has %d cancellations; send at most %d", len(list), MaxCancellations)
	}
	var errs []error
	for i := range list {
		if !IsBatchID(list[i].ID) {
			errs = append(errs, fmt.Errorf("cancellation of batch %.50q is not valid; send the ID of a batch", list[i].ID))
		}
		if list[i].Age < 0 {
			errs = append(errs, fmt.Errorf("cancellation has age %s; send 0 or more", list[i].Age))
		}
		if len(errs) >= maxProblems {
			break
		}
	}
	return errors.Join(errs...)
}
