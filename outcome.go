package cornelwall

//go:generate go tool enumer -type=Outcome,Kind,VMState -text -transform=lower -output=enums_gen.go

// Outcome is the result of a job or of one task.
type Outcome int

const (
	// Pending means that the outcome is not known yet.
	Pending Outcome = iota
	// Done means that every task succeeded and the answer is complete.
	Done
	// Failed means that at least one task started and the job has no answer. For a task it
	// means that the task ran and its back end reported a failure.
	Failed
	// NotRun means that no task has started and none will.
	NotRun
	// Unknown means that it is not known, temporarily or permanently, whether it ran.
	Unknown
)

// Definite reports whether the outcome is known for certain. Other outcomes may become definite
// later. A definite outcome does not change, except that entries report it as Unknown once the
// results were dropped (ReasonDropped) or the ticket has expired (ReasonExpired).
func (o Outcome) Definite() bool { return o == Done || o == Failed || o == NotRun }
