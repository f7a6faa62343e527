package queue

import (
	"time"

	"cornelwall"
)

// Group is the waiting tasks of one job that have the same need.
type Group struct {
	Job       uint64 // sequence number of the job's ticket
	Need      cornelwall.Need
	Class     cornelwall.Class
	Team      string
	Profile   string
	Limit     int           // tasks of the profile that may run at once; 0 is no limit
	Weight    int           // of the team in fair sharing; at least 1
	Submitted time.Time     // when the job was submitted
	RunTime   time.Duration // expected run time of a task
	Tasks     []int         // indices in the job; the first goes first
}

// group is a Group in the queue.
type group struct {
	Group
	rank         time.Time // the earliest goes first within a team
	eligible     int       // tasks that the limit of the profile allows to start
	team         *team
	index        int // in the heap of its team; -1 if no task is eligible
	blockedIndex int // in the heap of its profile; -1 if all tasks are eligible
}

// ranksBefore reports whether a goes before b. Ties are broken by the order of submission.
func ranksBefore(a, b *group) bool {
	if !a.rank.Equal(b.rank) {
		return a.rank.Before(b.rank)
	}
	return a.Job < b.Job
}

// work returns the expected slot time of the eligible tasks.
func (g *group) work() time.Duration { return time.Duration(g.eligible) * g.RunTime }
