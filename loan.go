package cornelwall

import (
	"errors"
)

const maxLoan = 1 << 16

// LoanRequest is how many tasks of one need wait at the sender for machines of the receiver.
// It replaces the sender's last word for the need.
type LoanRequest struct {
	Need  Need     `json:"need,omitzero"`
	Count int      `json:"count"`
	Class Class    `json:"class"`
	Age   Duration `json:"age"`            // of the job that goes first, less what its size costs it
	TTL   Duration `json:"life,omitempty"` // how long the want stands; 0: what is free now or nothing
	Free  int      `json:"free,omitempty"` // slots that are free at the sender's own executors
}

// Check reports all that is wrong with the want.
func (w *LoanRequest) Check() error {
	return errors.Join(w.Need.Check(), checkRange("want count", w.Count, 0, 1<<30))
}

// Loan gives the receiver the use of a part of a machine, Count times the need,
// until it returns it. Total and Back make a lost or doubled message harmless: they
// are what the home has lent so far and what it has been given back, in a series.
// A loan with Count 0 only repeats them.
type Loan struct {
	Machine  string   `json:"machine"`
	Need     Need     `json:"need,omitzero"`
	Count    int      `json:"count"`
	Series   uint64   `json:"series"`
	Total    uint64   `json:"total"`
	Returned uint64   `json:"back"`
	TTL      Duration `json:"life"`           // for how long new tasks may start on it
	Free     int      `json:"free,omitempty"` // slots that are still free at the home
}

// LoanReturn ends Count loans; Total is the number that the sender has returned in the
// series. The other numbers tell the home how starts on the machine have ended since
// the last word.
type LoanReturn struct {
	Machine            string `json:"machine"`
	Need               Need   `json:"need,omitzero"`
	Count              int    `json:"count"`
	Series             uint64 `json:"series"`
	Total              uint64 `json:"total"`
	Using              int    `json:"using,omitempty"` // parts in use, in answer to an Adopt
	Done               int    `json:"done,omitempty"`
	MachineFaults      int    `json:"fail,omitempty"` // failures that are not the job's own
	Busy               int    `json:"busy,omitempty"` // starts that were refused
	Lost               int    `json:"lost,omitempty"` // starts that met no connection
	SlowdownPercentSum int    `json:"pace,omitempty"` // run times of the tasks done to the expected ones, in percent, summed up
	Draining           bool   `json:"draining,omitempty"`
	Free               int    `json:"free,omitempty"` // slots that are free at the sender's own executors
}

// TakeOwnership tells that the sender is the home of the machines from now on, and asks who
// uses them. What the receiver holds of them continues as the series given.
type TakeOwnership struct {
	Series   uint64   `json:"series"`
	Machines []string `json:"machines"`
}
