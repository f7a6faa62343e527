package health

// FaultAttribution tells failures of machines from jobs that fail everywhere. It is kept by the
// owner of the jobs.
type FaultAttribution struct {
	firstFailure map[uint64]string // job to the machine on which it failed first
}

// NewFaultAttribution returns a judge that has seen no failure.
func NewFaultAttribution() *FaultAttribution {
	return &FaultAttribution{firstFailure: map[uint64]string{}}
}

// IsMachineFault reports whether a failure of a job counts against the machine: only the first
// failure of a job does. The second on the same machine says nothing new, and one on
// another machine says that the job is to blame itself.
func (j *FaultAttribution) IsMachineFault(job uint64, machine string) bool {
	if _, ok := j.firstFailure[job]; ok {
		return false
	}
	j.firstFailure[job] = machine
	return true
}

// Forget drops a job that runs no longer.
func (j *FaultAttribution) Forget(job uint64) { delete(j.firstFailure, job) }

// Len returns the number of jobs remembered.
func (j *FaultAttribution) Len() int { return len(j.firstFailure) }
