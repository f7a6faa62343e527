package cornelwall

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestTicketText(t *testing.T) {
	want := Ticket{
		Owner: Incarnation{DataCentre: "ikeja", Entry: "e1", Epoch: 0xabc},
		Seq:   37, MintMs: 1500, Team: "bookings", MAC: [macLen]byte{1, 2, 3},
	}
	got, err := ParseTicket(want.String())
	assert.NilError(t, err)
	assert.Equal(t, got, want)

	for _, tt := range []struct{ in, want string }{
		{"", "has 1 parts"},
		{"ikeja.e1.abc.11.1.bookings", "has 6 parts"},
		{"ikeja.e1.zz.11.1.bookings.AAAAAAAAAAAAAAAAAAAAAA", "damaged"},
		{"ikeja.e1.abc.11.1.bookings.AAAA", "cut short"},
		{"ikeja.e1.abc.0.1.bookings.AAAAAAAAAAAAAAAAAAAAAA", "number 0"},
		{"ikeja.e1.abc.1.1.Bookings.AAAAAAAAAAAAAAAAAAAAAA", "only a-z"},
	} {
		_, err := ParseTicket(tt.in)
		assert.ErrorContains(t, err, tt.want)
	}
}
