// Package ticket creates the tickets of one incarnation, authenticated with an HMAC, and verifies
// the tickets of all entries that share its secret.
//
// # Usage
//
//	m := ticket.NewMinter(self, secret, start)
//	t := m.Mint(now, "bookings")
//	ok := m.Verify(t) // of any owner, as all entries share the secret
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"cornelwall"
)

// Minter creates and verifies tickets.
type Minter struct {
	self      cornelwall.Incarnation
	secret    []byte
	startedAt time.Time
	seq       uint64
}

// NewMinter returns a minter for the incarnation that started at the given time.
func NewMinter(self cornelwall.Incarnation, secret []byte, startedAt time.Time) *Minter {
	return &Minter{self: self, secret: secret, startedAt: startedAt}
}

// Mint returns a new ticket for the team.
func (m *Minter) Mint(now time.Time, team string) cornelwall.Ticket {
	m.seq++
	t := cornelwall.Ticket{
		Owner:  m.self,
		Seq:    m.seq,
		MintMs: uint64(now.Sub(m.startedAt) / time.Millisecond),
		Team:   team,
	}
	copy(t.MAC[:], m.mac(t))
	return t
}

// Verify reports whether an entry with the same secret created the ticket. The MAC of a ticket is
// the HMAC-SHA256 cut to the length of Ticket.MAC.
func (m *Minter) Verify(t cornelwall.Ticket) bool {
	return hmac.Equal(t.MAC[:], m.mac(t)[:len(t.MAC)])
}

// Expires returns when a ticket of this incarnation reaches the maximum age.
func (m *Minter) Expires(t cornelwall.Ticket, maxAge time.Duration) time.Time {
	return m.startedAt.Add(t.MintedAfter() + maxAge)
}

func (m *Minter) mac(t cornelwall.Ticket) []byte {
	buf := make([]byte, 0, 128)
	for _, s := range []string{t.Owner.DataCentre, t.Owner.Entry, t.Team} {
		buf = binary.AppendUvarint(buf, uint64(len(s)))
		buf = append(buf, s...)
	}
	for _, n := range []uint64{t.Owner.Epoch, t.Seq, t.MintMs} {
		buf = binary.BigEndian.AppendUint64(buf, n)
	}
	mac := hmac.New(sha256.New, m.secret)
	_, _ = mac.Write(buf)
	return mac.Sum(nil)
}
