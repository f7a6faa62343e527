package cornelwall

import (
	"errors"
)

const maxLoan = 1 << 16

// LoanRequest reports how many tasks of one need wait at the sender for capacity of machines
// that the receiver owns. It replaces the sender's previous request for the same need.
type LoanRequest struct {
	Need  Need     `json:"need,omitzero"`
	Count int      `json:"count"`
	Class Class    `json:"class"`
	Age   Duration `json:"age"`            // waiting time of the next job, less a penalty for its size
	TTL   Duration `json:"life,omitempty"` // how long the request stays queued; 0 asks only for what is free now
	Free  int      `json:"free,omitempty"` // free slots of the sender's own executors
}

// Check reports every problem with the request.
func (r *LoanRequest) Check() error {
	return errors.Join(r.Need.Check(), checkRange("loan request count", r.Count, 0, 1<<30))
}

// Loan lends the receiver Count units of a machine's capacity until it returns them. A unit has
// the size of Need and runs one task at a time. The lender is the entry that owns the machine.
//
// A series identifies the loans of one need on one machine to one borrower, from the first one or
// from a TakeOwnership on. Total and Returned, the numbers of units that the lender has lent and
// got back in the series so far, make lost or duplicated messages harmless. A loan with Count 0
// only repeats them.
type Loan struct {
	Machine  string   `json:"machine"`
	Need     Need     `json:"need,omitzero"`
	Count    int      `json:"count"`
	Series   uint64   `json:"series"`
	Total    uint64   `json:"total"`
	Returned uint64   `json:"back"`
	TTL      Duration `json:"life"`           // how long new tasks may start on the units
	Free     int      `json:"free,omitempty"` // free slots of the lender's executors
}

// LoanReturn returns Count units; Total is the number that the sender has returned in the
// series so far. The other counts report how starts on the machine have ended since the
// previous report.
type LoanReturn struct {
	Machine            string `json:"machine"`
	Need               Need   `json:"need,omitzero"`
	Count              int    `json:"count"`
	Series             uint64 `json:"series"`
	Total              uint64 `json:"total"`
	Using              int    `json:"using,omitempty"` // units not returned, in answer to a TakeOwnership
	Done               int    `json:"done,omitempty"`
	MachineFaults      int    `json:"fail,omitempty"` // failures that are not the job's fault
	Busy               int    `json:"busy,omitempty"` // starts refused for lack of a free slot
	ConnectFailures    int    `json:"lost,omitempty"` // starts that could not connect
	SlowdownPercentSum int    `json:"pace,omitempty"` // sum of the SlowdownPercent of the tasks done
	Draining           bool   `json:"draining,omitempty"`
	Free               int    `json:"free,omitempty"` // free slots of the sender's own executors
}

// TakeOwnership announces that the sender owns the machines from now on, and asks who uses
// them. The units that the receiver holds of them continue in the given series.
type TakeOwnership struct {
	Series   uint64   `json:"series"`
	Machines []string `json:"machines"`
}
