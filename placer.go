package cornelwall

import "time"

// Capacity is the total and free capacity of the machines that an entry owns.
type Capacity struct {
	Slots   int  `json:"slots,omitempty"`  // slots of healthy executors
	Free    int  `json:"free,omitempty"`   // free slots among them
	Workers Need `json:"workers,omitzero"` // sum of what is free on the workers
}

// Place is a unit of a machine's capacity, of the size of Need, on which a task may start.
type Place struct {
	Machine string
	Need    Need
}

// StartReport is the result of a start on a place.
type StartReport struct {
	Started         bool   // false if the place was not used after all
	Reason          Reason // ReasonNone if the task is done
	MachineFault    bool   // the failure is not the job's fault
	SlowdownPercent int    // run time / mean run time of the job's tasks so far, in percent; 0 if unknown
	Draining        bool   // the machine asked for no new tasks
}

// PeerCapacity is a reachable peer and the capacity that it reported last.
type PeerCapacity struct {
	ID       Incarnation
	Capacity Capacity
	At       time.Time // when the report was received
	Leaving  bool
}

// PlacerHost is the interface of the entry core that a Placer uses.
type PlacerHost interface {
	// Needs returns the needs of the waiting tasks in a stable order.
	Needs() []Need
	// Waiting returns the number of waiting tasks of the need that may start.
	Waiting(need Need) int
	// Head returns the class of the next task of the need and the time by which it is ranked.
	Head(need Need) (Class, time.Time)
	// ExpectedRunTime returns the expected run time of a task.
	ExpectedRunTime() time.Duration
	// StartNext starts the next waiting task of the need on the place. It reports false if
	// none can start there.
	StartNext(p Place) bool
	// Peers returns the nearby reachable entries, in a stable order.
	Peers() []PeerCapacity
	// Send sends a message to a peer.
	Send(to Incarnation, m Message)
}

// Placer finds places for the waiting tasks of one entry. It is part of a Core and,
// like it, reads no clock.
type Placer interface {
	// SetMachines replaces the known machines, by name, and those that this entry owns.
	// Machines that are not live take no new tasks.
	SetMachines(now time.Time, all map[string]VM, mine []VM)
	// Receive handles a LoanRequest, Loan, LoanReturn or TakeOwnership message of a peer.
	Receive(now time.Time, from Incarnation, m *Message)
	// Undelivered handles such a message that may not have reached the peer.
	Undelivered(now time.Time, to Incarnation, m *Message)
	// PeerLost reports that an incarnation is gone or does not answer.
	PeerLost(now time.Time, id Incarnation)
	// Partners returns the incarnations that lend to this entry or borrow from it, in a
	// stable order.
	Partners() []Incarnation
	// Release returns a place, with the result of the start there.
	Release(now time.Time, p Place, r StartReport)
	// Usage handles a measurement of what all tasks of a worker used; lag is its age.
	Usage(now time.Time, machine string, used Need, lag time.Duration)
	// Place starts as many waiting tasks as it can and sends messages to peers. It is called
	// after each event.
	Place(now time.Time, host PlacerHost)
	// Heartbeat does the periodic work. It is called with each heartbeat.
	Heartbeat(now time.Time, host PlacerHost)
	// Next returns when Place must be called at the latest; the zero time means never.
	Next() time.Time
	// Capacity returns the capacity of the machines that this entry owns.
	Capacity() Capacity
}
