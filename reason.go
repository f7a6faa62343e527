package cornelwall

//go:generate go tool enumer -type=Reason -text -transform=kebab -trimprefix=Reason -output=reason_gen.go

// Reason is why a job or task was refused, failed, was retried or is unknown. Each reason but
// ReasonNone has a counter of refusals and one of retries on the metrics page.
type Reason int

const (
	// ReasonNone is the reason of a success.
	ReasonNone Reason = iota
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline
	// ReasonTooLate means that the job was expected to miss its deadline.
	ReasonTooLate
	// ReasonQueueFull means that the queue limit of the profile was reached.
	ReasonQueueFull
	// ReasonNeverFits means that no known machine is large enough for a task.
	ReasonNeverFits
	// ReasonNoProfile means that the profile is unknown or retired.
	ReasonNoProfile
	// ReasonStale means that the profiles of the entry may be outdated; see [Stale].
	ReasonStale
	// ReasonCancelled means that the caller cancelled the job.
	ReasonCancelled
	// ReasonExpired means that the ticket is older than its TTL.
	ReasonExpired
	// ReasonStopping means that the entry is stopping.
	ReasonStopping
	// ReasonClosed means that the owner had shut down before the job was submitted.
	ReasonClosed
	// ReasonOwnerLost means that the owner of the ticket is gone.
	ReasonOwnerLost
	// ReasonOwnerAway means that the owner of the ticket cannot be reached.
	ReasonOwnerAway
	// ReasonTask means that a back end reported that a task failed.
	ReasonTask
	// ReasonLost means that the answer of a back end was lost.
	ReasonLost
	// ReasonBusy means that the back end had no free slot.
	ReasonBusy
	// ReasonConnect means that no connection to the back end could be made.
	ReasonConnect
	// ReasonDraining means that the back end is draining and takes no new tasks.
	ReasonDraining
	// ReasonRetries means that the retry budget is exhausted.
	ReasonRetries
	// ReasonTicket means that the ticket is forged or belongs to another team.
	ReasonTicket
	// ReasonContent means that the ticket or idempotency key was used with other content.
	ReasonContent
	// ReasonStore means that the platform's store did not answer.
	ReasonStore
	// ReasonClaims means that the rate limit for writing idempotency keys to the platform's
	// store is reached.
	ReasonClaims
	// ReasonOverload means that the entry holds as much work as its memory allows.
	ReasonOverload
	// ReasonDropped means that the job is done but its results are no longer kept.
	ReasonDropped
	// ReasonPeer means that a message to another entry did not arrive.
	ReasonPeer
	// ReasonTooLarge means that the results of a job are larger than an answer may be.
	ReasonTooLarge
	// ReasonCrash means that endpoints have crashed while the task may have been at work there.
	ReasonCrash
	// ReasonEvacuated means that all data centres are evacuated.
	ReasonEvacuated
	// ReasonShed means that load was shed: the batch could not be on time while others waited that can.
	ReasonShed
	// ReasonTakenOver means that another entry owns the batch, which has lost touch with this one.
	ReasonTakenOver
)
