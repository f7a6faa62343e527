package cornelwall

import (
	"errors"
	"fmt"
	"time"
)

// maxLoadFigures is the greatest number of figures of either kind in a LoadReport.
const maxLoadFigures = 64

// LoadReport tells a peer of the demand and the capacity that the sender knows of.
type LoadReport struct {
	Own     []ServiceFigures `json:"own,omitempty"`     // measured by the sender itself
	Centres []CentreFigures  `json:"centres,omitempty"` // the best that it knows of each data centre
}

// ServiceFigures are the demand and the capacity of a service, in thousandths of cores.
type ServiceFigures struct {
	Service  string `json:"for"`
	Demand   []int  `json:"ask,omitempty"` // by priority, see FreeCapacityClasses; zeros at the end are left out
	Capacity int    `json:"can,omitempty"` // of usable endpoints
}

// CentreFigures are the sums over a number of entries of one data centre, none of which is counted twice.
type CentreFigures struct {
	ServiceFigures
	DataCentre string        `json:"in"`
	Entries    int           `json:"of"`            // counted
	Age        time.Duration `json:"age,omitempty"` // of the oldest figures in the sums
}

// Check reports the names and lengths that are not valid. Amounts and ages are judged by the receiver, as a heartbeat must
// not be lost because of them.
func (r *LoadReport) Check() error {
	if r == nil {
		return nil
	}
	if len(r.Own) > maxLoadFigures || len(r.Centres) > maxLoadFigures {
		return fmt.Errorf("load report has %d and %d figures; send at most %d", len(r.Own), len(r.Centres), maxLoadFigures)
	}
	var errs []error
	for i := range r.Own {
		errs = append(errs, r.Own[i].check())
	}
	for i := range r.Centres {
		errs = append(errs, r.Centres[i].check())
		if len(r.Centres[i].DataCentre) > maxFieldSize {
			errs = append(errs, fmt.Errorf("load report names data centre %.50q; use at most %d bytes", r.Centres[i].DataCentre, maxFieldSize))
		}
	}
	return errors.Join(errs...)
}

func (f *ServiceFigures) check() error {
	if f.Service == "" || len(f.Service) > maxFieldSize || len(f.Demand) > maxLoadFigures {
		return fmt.Errorf("load report names service %.50q with %d classes; name it with at most %d bytes, and at most %d classes", f.Service, len(f.Demand), maxFieldSize, maxLoadFigures)
	}
	return nil
}
