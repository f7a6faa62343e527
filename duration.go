package cornelwall

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that JSON and YAML encode as text, such as "250ms".
type Duration time.Duration

// MarshalText writes the duration in the syntax of time.ParseDuration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q is not valid; write a number with a unit, such as \"250ms\" or \"2s\"", text)
	}
	*d = Duration(v)
	return nil
}

// String returns the text form.
func (d Duration) String() string { return time.Duration(d).String() }
