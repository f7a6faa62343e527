package cornelwall

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Incarnation identifies one process of an entry VM. A restarted entry has the same name
// and a new epoch, called its life on the wire and in error messages.
type Incarnation struct {
	DataCentre string `json:"dc"`
	Entry      string `json:"entry"`
	Epoch      uint64 `json:"life"`
}

// IsZero reports whether the incarnation is unset.
func (i Incarnation) IsZero() bool { return i == Incarnation{} }

// SameEntry reports whether both are incarnations of the same entry VM.
func (i Incarnation) SameEntry(j Incarnation) bool {
	return i.DataCentre == j.DataCentre && i.Entry == j.Entry
}

// String returns "data-centre.entry.epoch", the epoch in hexadecimal.
func (i Incarnation) String() string {
	return i.DataCentre + "." + i.Entry + "." + strconv.FormatUint(i.Epoch, 16)
}

// Compare orders incarnations by data centre, entry and epoch.
func (i Incarnation) Compare(j Incarnation) int {
	if c := strings.Compare(i.DataCentre, j.DataCentre); c != 0 {
		return c
	}
	if c := strings.Compare(i.Entry, j.Entry); c != 0 {
		return c
	}
	switch {
	case i.Epoch < j.Epoch:
		return -1
	case i.Epoch > j.Epoch:
		return 1
	}
	return 0
}

// Check reports every problem with the incarnation.
func (i Incarnation) Check() error {
	err := errors.Join(CheckName("data centre", i.DataCentre), CheckName("entry", i.Entry))
	if i.Epoch == 0 {
		err = errors.Join(err, errors.New("incarnation has life 0; use the number drawn at start"))
	}
	return err
}

// MarshalText returns the form of String.
func (i Incarnation) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText parses the form of String.
func (i *Incarnation) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ".")
	if len(parts) != 3 {
		return fmt.Errorf("incarnation %q has %d parts; want data-centre.entry.life", text, len(parts))
	}
	epoch, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return fmt.Errorf("incarnation %q: life is not a hexadecimal number", text)
	}
	*i = Incarnation{DataCentre: parts[0], Entry: parts[1], Epoch: epoch}
	return i.Check()
}
