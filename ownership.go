package cornelwall

import (
	"errors"
	"fmt"
	"time"
)

// MaxOwnershipClaims is the number of claims or replies that one message may carry.
const MaxOwnershipClaims = 4096

// BatchOwner is an entry that owns a batch, or did so. An entry that accepts a batch anew, after it has let it go, has a
// new number.
type BatchOwner struct {
	Entry  Incarnation `json:"entry"`
	Number uint64      `json:"number"` // of the claim; rises from one claim of the entry to the next
}

// IsZero reports whether there is no owner.
func (o BatchOwner) IsZero() bool { return o == BatchOwner{} }

// OwnershipClaims claims batches for the sender. Its receiver is a witness of the batches: it records who owns them.
type OwnershipClaims struct {
	List []OwnershipClaim `json:"list"`
}

// OwnershipClaim claims a batch, renews an earlier claim or, with Query, only asks who owns the batch.
type OwnershipClaim struct {
	ID     string     `json:"id"`
	Number uint64     `json:"number"`          // as in BatchOwner
	Round  uint64     `json:"round"`           // returned in the reply
	Query  bool       `json:"query,omitempty"` // record nothing
	Held   bool       `json:"held,omitempty"`  // the sender owns the batch already, as far as it knows
	LetGo  BatchOwner `json:"gave,omitzero"`   // has let the batch go: its record is dropped first
}

// Check reports every problem with the message.
func (m *OwnershipClaims) Check() error {
	return checkClaimedBatches(len(m.List), func(i int) string { return m.List[i].ID })
}

// OwnershipReplies tells an entry who owns the batches that it has claimed or asked for.
type OwnershipReplies struct {
	List []OwnershipReply `json:"list"`
}

// OwnershipReply answers an OwnershipClaim. The claim is granted if Owner is the receiver.
type OwnershipReply struct {
	ID    string     `json:"id"`
	Round uint64     `json:"round"`
	Owner BatchOwner `json:"owner,omitzero"` // zero if nobody is recorded
}

// Check reports every problem with the message.
func (m *OwnershipReplies) Check() error {
	return checkClaimedBatches(len(m.List), func(i int) string { return m.List[i].ID })
}

// JoinBatch asks the owner of a batch to answer the sender too, which has a caller of the batch.
type JoinBatch struct {
	ID       string        `json:"id"`
	Number   uint64        `json:"number"` // of the sender's claim, see BatchOwner
	TimeLeft time.Duration `json:"left"`   // until the deadline of the sender's callers
}

// Check reports every problem with the message.
func (m *JoinBatch) Check() error { return checkClaimedBatch(m.ID) }

// LeaveBatch tells the owner of a batch that no caller of the sender waits for it any more.
type LeaveBatch struct {
	ID     string `json:"id"`
	Number uint64 `json:"number"` // as in JoinBatch
}

// Check reports every problem with the message.
func (m *LeaveBatch) Check() error { return checkClaimedBatch(m.ID) }

//go:generate go tool enumer -type=JoinState -text -transform=kebab -trimprefix=Join -output=joinstate_gen.go

// JoinState is the answer to a JoinBatch.
type JoinState int

const (
	// JoinAccepted means that the sender owns the batch and will send the answer to it.
	JoinAccepted JoinState = iota
	// JoinAnswered means that the batch has ended, see JoinReply.Answer.
	JoinAnswered
	// JoinEnding means that the sender owns the batch no more, but runs of it may not have ended.
	JoinEnding
	// JoinLetGo means that the sender does not own the batch, and that none of its runs of it goes on.
	JoinLetGo
	// JoinElsewhere means that another entry owns the batch, see JoinReply.Owner.
	JoinElsewhere
)

// JoinReply answers a JoinBatch.
type JoinReply struct {
	ID     string      `json:"id"`
	Number uint64      `json:"number"` // as in JoinBatch
	State  JoinState   `json:"state"`
	Owner  BatchOwner  `json:"owner,omitzero"`
	Answer BatchAnswer `json:"answer,omitzero"`
}

// Check reports every problem with the message.
func (m *JoinReply) Check() error {
	errs := []error{checkClaimedBatch(m.ID)}
	if !m.State.IsAJoinState() {
		errs = append(errs, fmt.Errorf("reply has state %d; upgrade the older entry", m.State))
	}
	if !m.Answer.End.IsABatchEnd() || !m.Answer.Reason.IsAReason() {
		errs = append(errs, fmt.Errorf("reply has end %d for reason %d; upgrade the older entry", m.Answer.End, m.Answer.Reason))
	}
	return errors.Join(errs...)
}

// checkClaimedBatches checks the IDs of the batches in a list of claims or replies.
func checkClaimedBatches(n int, id func(i int) string) error {
	if n > MaxOwnershipClaims {
		return fmt.Errorf("list has %d batches; send at most %d", n, MaxOwnershipClaims)
	}
	for i := range n {
		if err := checkClaimedBatch(id(i)); err != nil {
			return fmt.Errorf("list[%d]: %w", i, err)
		}
	}
	return nil
}

func checkClaimedBatch(id string) error {
	if id == "" || len(id) > maxFieldSize {
		return fmt.Errorf("batch %.50q is not valid; name one with at most %d bytes", id, maxFieldSize)
	}
	return nil
}
