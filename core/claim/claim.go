// Package claim binds the idempotency keys of callers to tickets by one compare-and-swap on the
// platform's store.
//
// The entry that receives a submission mints a ticket and tries to create the key with the ticket
// as its value. The entry that creates the key owns the job; the others forward the submission to
// the owner of the ticket in the key. If the answer to a write is lost, reading the key back shows
// who created it, since the ticket in it is unique.
//
// # Usage
//
//	t := claim.NewTable(rate, burst)
//	c, retryAfter := t.Begin(now, id, req, job, team, key)
//	c, next := t.HandleResult(id, result) // next is Won, Lost, Read, Write or GiveUp
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"cornelwall"
)

const maxAttempts = 3 // reads and further writes of one claim after its first write

// Prefix is the prefix of the keys of all claims in the platform's store.
const Prefix = "cornelwall/claims/"

// Step is what to do next with a claim.
type Step int

const (
	// Won means that this entry owns the job.
	Won Step = iota
	// Lost means that the key holds another ticket.
	Lost
	// Read means that the key must be read.
	Read
	// Write means that the key must be written again.
	Write
	// GiveUp means that the claim cannot be decided: the store failed too often or holds an
	// invalid value.
	GiveUp
)

// Value is the value of a key in the platform's store.
type Value struct {
	Ticket cornelwall.Ticket `json:"ticket"`
	Digest uint64            `json:"digest"` // of the job
}

// Claim is a claim in progress.
type Claim struct {
	Req      uint64
	Job      *cornelwall.Job // carries the new ticket
	Digest   uint64
	Key      string    // in the platform's store
	Received time.Time // when the submission was received
	Holder   Value     // the value of the key, once the claim is Lost

	attempts int
	reading  bool
}

// EncodedValue returns the Value to write to the key, as JSON.
func (c *Claim) EncodedValue() []byte {
	b, err := json.Marshal(Value{Ticket: c.Job.Ticket, Digest: c.Digest})
	if err != nil {
		panic(fmt.Sprintf("claim cannot be encoded: %v", err)) // no field of the type can fail to encode
	}
	return b
}

// Table holds the claims in progress and limits their rate by a token bucket.
type Table struct {
	claims     map[uint64]*Claim
	rate       float64 // claims per second
	burst      float64
	tokens     float64
	lastRefill time.Time
}

// NewTable returns a table that allows rate claims per second and bursts of burst claims.
func NewTable(rate, burst float64) *Table {
	return &Table{claims: map[uint64]*Claim{}, rate: rate, burst: burst, tokens: burst}
}

// StoreKey returns the key in the platform's store for an idempotency key of a team.
func StoreKey(team, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + team + "/" + hex.EncodeToString(sum[:])
}

// Begin starts a claim. If the rate limit is reached, it returns nil and the time after which to
// retry.
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

// HandleResult handles the result of a read or write for a claim and returns the claim with its next
// step. The claim is nil if it is not in progress.
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

// Len returns the number of claims in progress.
func (t *Table) Len() int { return len(t.claims) }

// nextStep returns the step that follows the result of a read or write.
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

// readBack reads the key to find out who created it, unless there were too many attempts.
func (c *Claim) readBack() Step {
	if c.attempts++; c.attempts > maxAttempts {
		return GiveUp
	}
	c.reading = true
	return Read
}
