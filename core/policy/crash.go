package policy

import "time"

//go:generate go tool enumer -type=Suspicion -transform=kebab -output=suspicion_gen.go

const (
	withholdingCrashes      = 3 // crashes from which on a task must not start
	withholdingCrashesAlone = 2 // the same if it ran alone under one of them
	crashesInTurn           = 3 // crashed endpoints from which on the tasks of a batch run one after the other

	minWithholding          = 10 * time.Minute // doubles with each further crash
	maxWithholding          = 2 * time.Hour
	maxWithholdingDoublings = 4 // that reach maxWithholding
)

// Crash is a crash of an endpoint that a run of a task may have caused. That it did is never certain: the start may not
// have arrived, and the run may have ended before the crash, with its lease or by itself, without a report.
type Crash struct {
	Alone     bool // no other run was there
	Confirmed bool // the endpoint has booted again; otherwise it may only be cut off
}

// Suspicion is what is concluded about a task from the crashes under its runs. It delays a task and fails none.
type Suspicion int

const (
	Unsuspected Suspicion = iota
	Suspected             // it should run alone
	Isolated              // it has to run alone
	OnHold                // it must not start until it is known whether the endpoints have crashed
	Withheld              // it must not start for the time of WithholdingTime
)

// SuspicionOf returns what is concluded from the crashes under the runs of one task.
func SuspicionOf(crashes []Crash) Suspicion {
	var all, confirmed crashCount
	for _, c := range crashes {
		all.add(c)
		if c.Confirmed {
			confirmed.add(c)
		}
	}
	switch {
	case confirmed.withholds():
		return Withheld
	case all.withholds():
		return OnHold
	}
	return SuspicionOfCount(all.n)
}

// SuspicionOfCount returns what is concluded from a number of crashes of which nothing else is known.
func SuspicionOfCount(crashes int) Suspicion { return min(Suspicion(max(crashes, 0)), Isolated) }

// WithholdingTime returns for how long after the last of so many crashes a task must not start.
func WithholdingTime(crashes int) time.Duration {
	doublings := min(max(crashes-withholdingCrashesAlone, 0), maxWithholdingDoublings)
	return min(minWithholding<<doublings, maxWithholding)
}

// RunInTurn reports whether the tasks of a batch have to run one after the other, as so many endpoints
// have crashed under them: all of them may crash the endpoints that start them.
func RunInTurn(crashedEndpoints int) bool { return crashedEndpoints >= crashesInTurn }

type crashCount struct{ n, alone int }

func (n *crashCount) add(c Crash) {
	n.n++
	if c.Alone {
		n.alone++
	}
}

func (n *crashCount) withholds() bool {
	return n.n >= withholdingCrashes || (n.n >= withholdingCrashesAlone && n.alone > 0)
}
