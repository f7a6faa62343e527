package ticket_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/ticket"
)

var (
	start = time.Unix(1700000000, 0)
	self  = cornelwall.Incarnation{DataCentre: "ikeja", Entry: "a", Epoch: 0x1234567890}
)

func BenchmarkMint(b *testing.B) {
	m := ticket.NewMinter(self, []byte("0123456789abcdef"), start)
	b.ReportAllocs()
	for b.Loop() {
		m.Mint(start, "bookings")
	}
}

func BenchmarkVerify(b *testing.B) {
	m := ticket.NewMinter(self, []byte("0123456789abcdef"), start)
	tk := m.Mint(start, "bookings")
	b.ReportAllocs()
	for b.Loop() {
		if !m.Verify(tk) {
			b.Fatal("valid ticket was rejected")
		}
	}
}

// TestVerify checks that changing any field of a ticket, or the secret, invalidates it.
func TestVerify(t *testing.T) {
	m := ticket.NewMinter(self, []byte("0123456789abcdef"), start)
	tk := m.Mint(start.Add(time.Second), "bookings")
	assert.Assert(t, m.Verify(tk))
	other := ticket.NewMinter(self, []byte("another-secret-16"), start)
	assert.Assert(t, !other.Verify(tk))
	for name, change := range map[string]func(*cornelwall.Ticket){
		"data centre": func(tk *cornelwall.Ticket) { tk.Owner.DataCentre = "lekki" },
		"entry":       func(tk *cornelwall.Ticket) { tk.Owner.Entry = "b" },
		"epoch":       func(tk *cornelwall.Ticket) { tk.Owner.Epoch++ },
		"seq":         func(tk *cornelwall.Ticket) { tk.Seq++ },
		"mint":        func(tk *cornelwall.Ticket) { tk.MintMs++ },
		"team":        func(tk *cornelwall.Ticket) { tk.Team = "orders" },
		"mac":         func(tk *cornelwall.Ticket) { tk.MAC[3]++ },
		"shifted field boundary": func(tk *cornelwall.Ticket) {
			tk.Owner.DataCentre, tk.Owner.Entry = "ikej", "a"+tk.Owner.Entry
		},
	} {
		forged := tk
		change(&forged)
		assert.Assert(t, !m.Verify(forged), name)
	}
}
