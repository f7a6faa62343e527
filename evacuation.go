package cornelwall

import (
	"errors"
	"fmt"
)

// Evacuation is whether a data centre is evacuated as of a revision of the platform's store. While it
// is, nothing starts on the endpoints there.
type Evacuation struct {
	DataCentre string `json:"dc"`
	Revision   int64  `json:"rev"`
	Active     bool   `json:"active,omitempty"`
}

// Check reports every problem with the evacuation.
func (e *Evacuation) Check() error {
	var errs []error
	if e.DataCentre == "" || len(e.DataCentre) > maxFieldSize {
		errs = append(errs, fmt.Errorf("evacuation names data centre %.50q of %d bytes; use 1 to %d", e.DataCentre, len(e.DataCentre), maxFieldSize))
	}
	if e.Revision <= 0 {
		errs = append(errs, fmt.Errorf("evacuation of %.50q is known as of revision %d; use 1 or more", e.DataCentre, e.Revision))
	}
	return errors.Join(errs...)
}

// MaxEvacuations is the number of data centres whose evacuation an entry knows of, and that one message may name.
const MaxEvacuations = 256

// CheckEvacuations reports every problem with a list of evacuations.
func CheckEvacuations(list []Evacuation) error {
	if len(list) > MaxEvacuations {
		return fmt.Errorf("message names %d evacuations; send at most %d", len(list), MaxEvacuations)
	}
	var errs []error
	for i := range list {
		errs = append(errs, list[i].Check())
	}
	return errors.Join(errs...)
}
