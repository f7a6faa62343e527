// Package claim binds the idempotency keys of callers to tickets by one
// compare-and-swap on the platform's service.
//
// The entry that a submission reaches mints a ticket and tries to create the key with
// it. Whoever creates the key owns the job; everybody else forwards to the owner of the
// ticket in the key. An answer that was lost is settled by reading the key back, since
// the ticket in it is unique.
//
// # Usage
//
//	t := claim.NewTable(rate, burst)
//	c, ok := t.Begin(now, id, req, job, key)
//	next := t.Stored(id, stored) // Won, Lost, Read, Write or GiveUp
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"cornelwall"
)

const maxAttempts = 3 // writes and reads of one claim that may fail

// Prefix starts the keys of all claims in the platform's service.
const Prefix = "cornelwall/claims/"

// Step is what to do next with a claim.
type Step int

const (
	// Won means that this entry owns the job.
	Won Step = iota
	// Lost means that the key holds another ticket.
	Lost
	// Read means that the key is to be read.
	Read
	// Write means that the key is to be written again.
	Write
	// GiveUp means that the service does not answer.
	GiveUp
)

// Value is what the platform's service holds under a key.
type Value struct {
	Ticket cornelwall.Ticket `json:"ticket"`
	Digest uint64            `json:"digest"` // of the job
}

// Claim is a claim on its way.
type Claim struct {
	Req      uint64
	Job      *cornelwall.Job // carries the ticket that was minted
	Digest   uint64
	Key      string    // in the platform's service
	Received time.Time // when the submission came
	Holder   Value     // who has the key, once Lost

	attempts int
	reading  bool
}

// Value returns what to write under the key.
func (c *Claim) Value() []byte {
	b, err := json.Marshal(Value{Ticket: c.Job.Ticket, Digest: c.Digest})
	if err != nil {
		panic(fmt.Sprintf("claim cannot be encoded: %v", err)) // the type has no field that can fail
	}
	return b
}

// Table holds the claims on their way and their budget.
type Table struct {
	claims     map[uint64]*Claim
	rate       float64 // claims per second
	burst      float64
	tokens     float64
	lastRefill time.Time
}

// NewTable returns a table that allows rate claims a second and burst at once.
func NewTable(rate, burst float64) *Table {
	return &Table{claims: map[uint64]*Claim{}, rate: rate, burst: burst, tokens: burst}
}

// StoreKey returns the key in the platform's service for a caller's key.
func StoreKey(team, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + team + "/" + hex.EncodeToString(sum[:])
}

// Begin starts a claim. It reports false if the budget is used up, with the time after
// which to come back.
func (t *Table) Begin(now time.Time, id, req uint64, job *cornelwall.Job, team, key string) (*Claim, time.Duration) {
	if !t.lastRefill.IsZero() {
		t.tokens = min(t.burst, t.tokens+t.rate*now.Sub(t.lastRefill).Seconds())
	}
	t.lastRefill = now
	if t.tokens < 1 {
		return nil, time.Duration((1 - t.tokens) / t.rate * float64(time.Second))
	}
	t.tokens--
	c := &Claim{Req: req, Job: job, Digest: job.Digest(), Key: StoreKey(team, key), Received: now}
	t.claims[id] = c
	return c, 0
}

// HandleResult takes the answer to a read or write of the claim. The claim is nil if the
// answer is not of a claim on its way.
func (t *Table) HandleResult(id uint64, ev cornelwall.StoreResult) (*Claim, Step) {
	c := t.claims[id]
	if c == nil {
		return nil, GiveUp
	}
	step := c.nextStep(ev)
	if step == Won || step == Lost || step == GiveUp {
		delete(t.claims, id)
	}
	return c, step
}

// Len returns the number of claims on their way.
func (t *Table) Len() int { return len(t.claims) }

func (c *Claim) nextStep(ev cornelwall.StoreResult) Step {
	wasRead := c.reading
	c.reading = false
	if ev.Err != nil {
		return c.readBack()
	}
	if !wasRead {
		if ev.Created {
			return Won
		}
		return c.readBack()
	}
	if ev.Pair.Revision == 0 {
		if c.attempts++; c.attempts > maxAttempts {
			return GiveUp
		}
		return Write
	}
	if err := json.Unmarshal(ev.Pair.Value, &c.Holder); err != nil {
		return GiveUp
	}
	if c.Holder.Ticket == c.Job.Ticket {
		return Won
	}
	return Lost
}

func (c *Claim) readBack() Step {
	if c.attempts++; c.attempts > maxAttempts {
		return GiveUp
	}
	c.reading = true
	return Read
}
