package queue

import (
	"time"

	"cornelwall"
)

// Lot is the waiting tasks of one need of one job.
type Lot struct {
	Job     uint64 // sequence number of the job's ticket
	Need    cornelwall.Need
	Class   cornelwall.Class
	Team    string
	Profile string
	Limit   int           // tasks of the profile that may run at once; 0 is no limit
	Weight  int           // of the team in fair sharing; at least 1
	Since   time.Time     // when the job was submitted
	Each    time.Duration // expected run time of a task
	Tasks   []int         // indices in the job; the first goes first
}

// lot is a Lot in the queue.
type lot struct {
	Lot
	rank  time.Time
	open  int // tasks that the limit of the profile allows to start
	team  *team
	index int // in the heap of its team; -1 if nothing is open
	held  int // in the heap of its profile; -1 if all is open
}

// earlier reports whether a goes before b.
func earlier(a, b *lot) bool {
	if !a.rank.Equal(b.rank) {
		return a.rank.Before(b.rank)
	}
	return a.Job < b.Job
}

// work returns the expected slot time of the tasks that may start.
func (l *lot) work() time.Duration { return time.Duration(l.open) * l.Each }
