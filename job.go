package cornelwall

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxTasks is the largest number of tasks in a job.
	MaxTasks = 1024
	// MaxTaskBody is the largest body of a task in bytes.
	MaxTaskBody = 1 << 20
	// MaxJobBody is the largest sum of the bodies of a job in bytes.
	MaxJobBody = 8 << 20
	// MaxAnswerBody is the largest sum of the results of a job in bytes. A job with larger
	// results fails, since its answer could not be sent in one piece.
	MaxAnswerBody = 16 << 20
)

// Need is what a task requires while it runs. The zero need is one slot of an executor; any
// other need is met by a worker. Unlike in Resources, cores are whole ones.
type Need struct {
	Cores        int `json:"cores,omitempty"`
	Memory       int `json:"memory,omitempty"` // MiB
	Accelerators int `json:"accelerators,omitempty"`
}

// Kind returns the kind of machine that can meet the need.
func (n Need) Kind() Kind {
	if n == (Need{}) {
		return Executor
	}
	return Worker
}

// Fits reports whether n fits into capacity.
func (n Need) Fits(capacity Need) bool {
	return n.Cores <= capacity.Cores && n.Memory <= capacity.Memory && n.Accelerators <= capacity.Accelerators
}

// Check reports an error if an amount is negative.
func (n Need) Check() error {
	if n.Cores < 0 || n.Memory < 0 || n.Accelerators < 0 {
		return fmt.Errorf("need %+v is negative; use 0 or more cores, MiB of memory and accelerators", n)
	}
	return nil
}

// Task is one unit of work.
type Task struct {
	Body     []byte   `json:"body"`
	Need     Need     `json:"need,omitzero"`
	Estimate Duration `json:"size,omitempty"` // run time that the caller expects; a hint
}

// Job is a submission: tasks that get one common answer.
type Job struct {
	Ticket   Ticket   `json:"ticket,omitzero"`
	Profile  string   `json:"profile"`
	TimeLeft Duration `json:"left,omitempty"` // until the deadline; 0 takes the profile's deadline
	Tasks    []Task   `json:"tasks"`
}

// Check reports every problem with the job.
func (j *Job) Check() error {
	errs := []error{CheckName("profile", j.Profile)}
	if !j.Ticket.IsZero() {
		errs = append(errs, j.Ticket.Check())
	}
	if j.TimeLeft < 0 {
		errs = append(errs, fmt.Errorf("left %s is negative; use the time left to the deadline", j.TimeLeft))
	}
	if len(j.Tasks) == 0 || len(j.Tasks) > MaxTasks {
		errs = append(errs, fmt.Errorf("tasks has %d entries; use 1 to %d", len(j.Tasks), MaxTasks))
	}
	sum := 0
	for i, t := range j.Tasks {
		sum += len(t.Body)
		if len(t.Body) > MaxTaskBody {
			errs = append(errs, fmt.Errorf("tasks[%d].body has %d bytes; use at most %d", i, len(t.Body), MaxTaskBody))
		}
		if t.Estimate < 0 {
			errs = append(errs, fmt.Errorf("tasks[%d].size %s is negative; use 0 or more", i, t.Estimate))
		}
		if err := t.Need.Check(); err != nil {
			errs = append(errs, fmt.Errorf("tasks[%d]: %w", i, err))
		}
	}
	if sum > MaxJobBody {
		errs = append(errs, fmt.Errorf("tasks have %d bytes; use at most %d", sum, MaxJobBody))
	}
	return errors.Join(errs...)
}

// Digest returns a hash of the content without ticket and deadline. All submissions under
// one ticket must have the same digest.
func (j *Job) Digest() uint64 {
	h := xxhash.New()
	var buf []byte
	put := func(n int) { buf = binary.AppendVarint(buf, int64(n)) }
	put(len(j.Profile))
	buf = append(buf, j.Profile...)
	for _, t := range j.Tasks {
		put(len(t.Body))
		put(t.Need.Cores)
		put(t.Need.Memory)
		put(t.Need.Accelerators)
		put(int(t.Estimate))
	}
	_, _ = h.Write(buf)
	for _, t := range j.Tasks {
		_, _ = h.Write(t.Body)
	}
	return h.Sum64()
}

// Answer is the state of a job as its caller sees it.
type Answer struct {
	Ticket     Ticket       `json:"ticket"`
	Outcome    Outcome      `json:"outcome"`
	Reason     Reason       `json:"reason"`
	Final      bool         `json:"final"`           // later answers have the same outcome; see Outcome.Definite for the exceptions
	RetryAfter Duration     `json:"back,omitempty"`  // delay before the caller asks again
	Text       string       `json:"text,omitempty"`  // remedy, for people
	Tasks      []TaskAnswer `json:"tasks,omitempty"` // one per task once the job has ended
}

// Check reports every problem with the answer.
func (a *Answer) Check() error {
	var errs []error
	if !a.Outcome.IsAOutcome() || !a.Reason.IsAReason() {
		errs = append(errs, fmt.Errorf("answer has outcome %d and reason %d; upgrade the older entry", a.Outcome, a.Reason))
	}
	if len(a.Tasks) > MaxTasks {
		errs = append(errs, fmt.Errorf("answer has %d tasks; at most %d are allowed", len(a.Tasks), MaxTasks))
	}
	if a.Outcome == Done {
		for i, t := range a.Tasks {
			if t.Outcome != Done {
				errs = append(errs, fmt.Errorf("answer is done but tasks[%d] is %s", i, t.Outcome))
			}
		}
	}
	return errors.Join(errs...)
}

// TaskAnswer is the outcome of one task. It has a body only if the whole job is done.
type TaskAnswer struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason,omitempty"`
	Body    []byte  `json:"body,omitempty"`
}

// Result is the result of one start at a back end.
type Result struct {
	Outcome  Outcome       // Done, Failed, NotRun or Unknown
	Reason   Reason        // why, unless Done
	Body     []byte        // result of the task
	Took     time.Duration // time from the start to the result
	Draining bool          // the back end asked for no new tasks
}
