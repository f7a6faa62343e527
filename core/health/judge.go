package health

// Judge tells failures of machines from jobs that fail everywhere. It is kept by the
// owner of the jobs.
type Judge struct {
	first map[uint64]string // job to the machine on which it failed first
}

// NewJudge returns a judge that has seen no failure.
func NewJudge() *Judge { return &Judge{first: map[uint64]string{}} }

// Blame reports whether a failure of a job counts against the machine: only the first
// failure of a job does. The second on the same machine says nothing new, and one on
// another machine says that the job is to blame itself.
func (j *Judge) Blame(job uint64, machine string) bool {
	if _, ok := j.first[job]; ok {
		return false
	}
	j.first[job] = machine
	return true
}

// Forget drops a job that runs no longer.
func (j *Judge) Forget(job uint64) { delete(j.first, job) }

// Len returns the number of jobs remembered.
func (j *Judge) Len() int { return len(j.first) }
