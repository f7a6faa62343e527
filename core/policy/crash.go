package policy

//go:generate go tool enumer -type=Suspicion -transform=kebab -output=suspicion_gen.go

const (
	deadlyCrashes      = 3 // crashes after which a task counts as deadly
	deadlyCrashesAlone = 2 // the same if it ran alone under one of them
	crashesInTurn      = 3 // crashed endpoints from which on the tasks of a batch run one after the other
)

// Crash is a crash of an endpoint under a run of a task.
type Crash struct {
	Alone     bool // no other run was there
	Confirmed bool // the endpoint has booted again; otherwise it may only be cut off
}

// Suspicion is what is concluded about a task from the crashes under its runs.
type Suspicion int

const (
	Unsuspected Suspicion = iota
	Suspected             // it should run alone
	Isolated              // it has to run alone
	OnHold                // it must not start until it is known whether the endpoints have crashed
	Deadly                // it crashes the endpoints that start it, and must not start
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
	case confirmed.isDeadly():
		return Deadly
	case all.isDeadly():
		return OnHold
	}
	return SuspicionOfCount(all.n)
}

// SuspicionOfCount returns what is concluded from a number of crashes of which nothing else is known.
func SuspicionOfCount(crashes int) Suspicion { return min(Suspicion(max(crashes, 0)), Isolated) }

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

func (n *crashCount) isDeadly() bool {
	return n.n >= deadlyCrashes || (n.n >= deadlyCrashesAlone && n.alone > 0)
}
