package health

// FaultAttribution distinguishes failures of machines from jobs that fail on every machine. Each
// entry has one for the jobs that it owns.
type FaultAttribution struct {
	firstFailure map[uint64]string // job to the machine on which it failed first
}

// NewFaultAttribution returns an attribution without recorded failures.
func NewFaultAttribution() *FaultAttribution {
	return &FaultAttribution{firstFailure: map[uint64]string{}}
}

// IsMachineFault records a failure of a job and reports whether it counts against the machine.
// Only the first failure of a job does: a second one on the same machine is no new evidence, and
// one on another machine shows that the job itself is at fault.
func (f *FaultAttribution) IsMachineFault(job uint64, machine string) bool {
	if _, ok := f.firstFailure[job]; ok {
		return false
	}
	f.firstFailure[job] = machine
	return true
}

// Forget removes a job that has ended.
func (f *FaultAttribution) Forget(job uint64) { delete(f.firstFailure, job) }

// Len returns the number of jobs with a recorded failure.
func (f *FaultAttribution) Len() int { return len(f.firstFailure) }
