package cornelwall

import "time"

// Capacity is what a home has of machines, and what of it is free.
type Capacity struct {
	Slots   int  `json:"slots,omitempty"`  // of its healthy executors
	Free    int  `json:"free,omitempty"`   // of these slots
	Workers Need `json:"workers,omitzero"` // free on its workers, summed up
}

// Place is a part of a machine on which a task may start.
type Place struct {
	Machine string
	Need    Need
}

// StartReport is how a start on a place ended.
type StartReport struct {
	Started         bool   // false: the place was not used after all
	Reason          Reason // ReasonNone of a task that was done
	MachineFault    bool   // the failure is not the job's own
	SlowdownPercent int    // run time to the expected run time, in percent; 0 is not known
	Draining        bool   // the machine asked for no new tasks
}

// PeerCapacity is a peer that answers, with its last word of its room.
type PeerCapacity struct {
	ID       Incarnation
	Capacity Capacity
	At       time.Time // of the last word
	Leaving  bool
}

// PlacerHost is what a Placer sees of the entry that it works for.
type PlacerHost interface {
	// Needs returns the needs of the waiting tasks in a stable order.
	Needs() []Need
	// Waiting returns the number of tasks of the need that wait and may start.
	Waiting(need Need) int
	// Head returns the class of the task of the need that is next, and the time by
	// which it is ranked.
	Head(need Need) (Class, time.Time)
	// Expected returns the run time that a task is expected to take.
	ExpectedRunTime() time.Duration
	// Begin starts the next waiting task of the need on the place. It reports false
	// if none can start there.
	StartNext(p Place) bool
	// Peers returns the near entries that answer, in a stable order.
	Peers() []PeerCapacity
	// Send hands a message to a peer.
	Send(to Incarnation, m Message)
}

// Placer finds places for the waiting tasks of one entry. It is a part of a Core and
// like it reads no clock.
type Placer interface {
	// Machines replaces the machines known, by name, and those whose home this entry
	// is. Machines that are not live take no new tasks.
	SetMachines(now time.Time, all map[string]VM, mine []VM)
	// Receive takes a want, loan, return or adopt message of a peer.
	Receive(now time.Time, from Incarnation, m *Message)
	// Undelivered takes back such a message that may not have arrived.
	Undelivered(now time.Time, to Incarnation, m *Message)
	// Lost says that an incarnation is gone or does not answer.
	PeerLost(now time.Time, id Incarnation)
	// Partners returns the incarnations that lend to this entry or borrow from it, in
	// a stable order.
	Partners() []Incarnation
	// Ended gives back a place with a report on the start there.
	Release(now time.Time, p Place, r StartReport)
	// Usage takes a worker's report of what all its tasks took up a while ago.
	Usage(now time.Time, machine string, used Need, lag time.Duration)
	// Place starts what it can and exchanges messages with peers. It is called after
	// each event.
	Place(now time.Time, d PlacerHost)
	// Beat does what is due with each heartbeat.
	Heartbeat(now time.Time, d PlacerHost)
	// Next returns when Place is to be called at the latest; zero is never.
	Next() time.Time
	// Room returns what this entry's own machines have.
	Capacity() Capacity
}
