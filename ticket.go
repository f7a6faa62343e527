package cornelwall

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	macLen      = 16 // bytes
	ticketParts = 7
)

// Ticket identifies a job. Only the incarnation that issued it may start tasks of the job.
// The MAC prevents guessing a ticket and binds it to a team.
type Ticket struct {
	Owner  Incarnation  `json:"owner"`
	Seq    uint64       `json:"seq"`
	MintMs uint64       `json:"mint"` // time of issue in milliseconds since the owner's start
	Team   string       `json:"team"`
	MAC    [macLen]byte `json:"mac"`
}

// IsZero reports whether the ticket is unset.
func (t Ticket) IsZero() bool { return t == Ticket{} }

// MintedAfter returns the time from the owner's start to the issue of the ticket.
func (t Ticket) MintedAfter() time.Duration { return time.Duration(t.MintMs) * time.Millisecond }

// String returns the text form that callers use.
func (t Ticket) String() string {
	return strings.Join([]string{
		t.Owner.DataCentre,
		t.Owner.Entry,
		strconv.FormatUint(t.Owner.Epoch, 16),
		strconv.FormatUint(t.Seq, 36),
		strconv.FormatUint(t.MintMs, 36),
		t.Team,
		base64.RawURLEncoding.EncodeToString(t.MAC[:]),
	}, ".")
}

// Check reports every problem with the form of the ticket. The MAC is verified by the
// entries, which hold the secret.
func (t Ticket) Check() error {
	err := errors.Join(t.Owner.Check(), CheckName("team", t.Team))
	if t.Seq == 0 {
		err = errors.Join(err, errors.New("ticket has number 0; draw a ticket from an entry"))
	}
	return err
}

// MarshalText returns the form of String, or nothing for an unset ticket.
func (t Ticket) MarshalText() ([]byte, error) {
	if t.IsZero() {
		return nil, nil
	}
	return []byte(t.String()), nil
}

// UnmarshalText parses the form of String. An empty text is an unset ticket.
func (t *Ticket) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*t = Ticket{}
		return nil
	}
	parsed, err := ParseTicket(string(text))
	if err != nil {
		return err
	}
	*t = parsed
	return nil
}

// ParseTicket parses the form of String.
func ParseTicket(s string) (Ticket, error) {
	parts := strings.Split(s, ".")
	if len(parts) != ticketParts {
		return Ticket{}, fmt.Errorf("ticket %q has %d parts, want %d; send it as it was drawn", s, len(parts), ticketParts)
	}
	epoch, errEpoch := strconv.ParseUint(parts[2], 16, 64)
	seq, errSeq := strconv.ParseUint(parts[3], 36, 64)
	mint, errMint := strconv.ParseUint(parts[4], 36, 64)
	mac, errMAC := base64.RawURLEncoding.DecodeString(parts[6])
	if err := errors.Join(errEpoch, errSeq, errMint, errMAC); err != nil {
		return Ticket{}, fmt.Errorf("ticket %q is damaged; send it as it was drawn: %w", s, err)
	}
	if len(mac) != macLen {
		return Ticket{}, fmt.Errorf("ticket %q is cut short; send it as it was drawn", s)
	}
	t := Ticket{
		Owner:  Incarnation{DataCentre: parts[0], Entry: parts[1], Epoch: epoch},
		Seq:    seq,
		MintMs: mint,
		Team:   parts[5],
		MAC:    [macLen]byte(mac),
	}
	return t, t.Check()
}
