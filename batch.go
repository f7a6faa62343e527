package cornelwall

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"
)

// MaxBatchTasks is the greatest number of tasks in a batch, and so of its steps.
const MaxBatchTasks = 1024

const (
	maxSpec     = 4000 // bytes
	maxEstimate = 24 * time.Hour
	maxProblems = 8  // that are told of one batch
	batchIDLen  = 16 // hexadecimal digits in the ID of a batch
	minStretch  = 1  // a queue with a smaller stretch, or with none, gets this one
)

// Queue configures the batches that are requested under one path prefix on one host.
type Queue struct {
	Name      string        `json:"name"`
	Host      string        `json:"host"`
	Prefix    string        `json:"prefix"`
	Service   string        `json:"service"`
	Priority  int           `json:"priority"`  // 0 is the highest
	Attempts  int           `json:"attempts"`  // the batch fails once one of its tasks has failed this often
	Timeout   time.Duration `json:"timeout"`   // time left to a request that sets no deadline
	Objective time.Duration `json:"objective"` // fixed part of the target time, see TargetTime
	Stretch   float64       `json:"stretch"`   // factor of the target time on the run time of the critical path
}

// QueueConfig is the versioned configuration of all queues, called the declaration in
// messages and logs. Its version only increases. Goroutines share a configuration, so that it is
// never changed once it has been decoded.
type QueueConfig struct {
	Version uint64  `json:"version"`
	Queues  []Queue `json:"queues"`
}

// Check reports every problem with the configuration.
func (c *QueueConfig) Check() error {
	var errs []error
	if c.Version == 0 {
		errs = append(errs, errors.New("declaration has version 0; versions begin at 1"))
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Name == "" || !strings.HasPrefix(q.Prefix, "/") {
			errs = append(errs, fmt.Errorf("queues[%d] has name %q and prefix %q; set a name and a path", i, q.Name, q.Prefix))
		}
	}
	return errors.Join(errs...)
}

// Sum returns a hash of the queues, by which logs of several entries tell whether they have the same.
func (c *QueueConfig) Sum() uint64 {
	h := fnv.New64a()
	var b []byte
	for i := range c.Queues {
		q := &c.Queues[i]
		b = b[:0]
		for _, n := range []int64{int64(q.Priority), int64(q.Attempts), int64(q.Timeout), int64(q.Objective), int64(math.Float64bits(q.Stretch))} {
			b = binary.AppendVarint(b, n)
		}
		for _, s := range []string{q.Name, q.Host, q.Prefix, q.Service} {
			b = append(append(b, s...), '\n')
		}
		_, _ = h.Write(b) // never fails
	}
	return h.Sum64()
}

// NamesService reports whether a queue sends its batches to a service.
func (c *QueueConfig) NamesService(service string) bool {
	return slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Service == service })
}

// Find returns the queue of the host with the longest matching path prefix, or nil.
func (c *QueueConfig) Find(host, path string) *Queue {
	var found *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (found == nil || len(q.Prefix) > len(found.Prefix)) {
			found = q
		}
	}
	return found
}

// TargetTime returns the time within which a batch should end. Work is the run time of its
// critical path, the longest chain of dependent tasks.
func (q *Queue) TargetTime(work time.Duration) time.Duration {
	return time.Duration(max(q.Stretch, minStretch)*float64(work)) + q.Objective
}

// lateFactor is how many times its target time a batch may take before its answer is of
// little use to the caller.
const lateFactor = 3

// UsefulTime returns the time after which the answer to a batch is of little use.
func (q *Queue) UsefulTime(work time.Duration) time.Duration { return lateFactor * q.TargetTime(work) }

// Step is a group of identical tasks in a batch.
type Step struct {
	Count       int           `json:"count"`
	Need        Resources     `json:"need"`
	Estimate    time.Duration `json:"estimate,omitempty"`    // run time that the caller expects; a hint
	After       []int         `json:"after,omitempty"`       // indexes of earlier steps that must be done first
	Requires    string        `json:"requires,omitempty"`    // label that the endpoint must have
	Rack        string        `json:"rack,omitempty"`        // label of the rack that holds the data
	PerEndpoint int           `json:"perendpoint,omitempty"` // tasks on one endpoint at once; 0 is no limit
}

// BatchJob is a batch: the tasks of one request to a Queue. It has no ticket and its result is
// not kept: it runs while its caller waits, and the caller sends it again if no answer arrives.
type BatchJob struct {
	ID    string
	Spec  string
	Steps []Step
}

// IsBatchID reports whether a batch can have the ID.
func IsBatchID(id string) bool {
	return len(id) == batchIDLen && strings.Trim(id, "0123456789abcdef") == ""
}

// Check reports the problems with the batch, the first ones if there are many.
func (b *BatchJob) Check() error {
	var errs []error
	if !IsBatchID(b.ID) {
		errs = append(errs, fmt.Errorf("id %.50q is not valid; use %d characters of 0-9 and a-f", b.ID, batchIDLen))
	}
	if len(b.Spec) > maxSpec {
		errs = append(errs, fmt.Errorf("spec has %d bytes; use at most %d", len(b.Spec), maxSpec))
	}
	n := 0
	for i := range b.Steps {
		n += min(max(b.Steps[i].Count, 0), MaxBatchTasks+1) // bounded, so that the sum does not overflow
		if len(errs) < maxProblems {
			errs = append(errs, b.Steps[i].problems(i)...)
		}
	}
	if n == 0 || n > MaxBatchTasks {
		errs = append(errs, fmt.Errorf("batch has no task or more than %d; use 1 to %d", MaxBatchTasks, MaxBatchTasks))
	}
	return errors.Join(errs...)
}

// problems returns the problems with the step of an index.
func (s *Step) problems(i int) []error {
	var errs []error
	if s.Count < 1 || s.Count > MaxBatchTasks {
		errs = append(errs, fmt.Errorf("steps[%d].count is %d; use 1 to %d", i, s.Count, MaxBatchTasks))
	}
	if s.Estimate < 0 || s.Estimate > maxEstimate {
		errs = append(errs, fmt.Errorf("steps[%d].estimate is %s; use 0 to %s", i, s.Estimate, maxEstimate))
	}
	if j := slices.IndexFunc(s.After, func(step int) bool { return step < 0 || step >= i }); j >= 0 {
		errs = append(errs, fmt.Errorf("steps[%d].after names step %d; name earlier steps only", i, s.After[j]))
	}
	if len(s.Requires) > maxFieldSize || len(s.Rack) > maxFieldSize {
		errs = append(errs, fmt.Errorf("steps[%d] has labels of %d and %d bytes; use at most %d", i, len(s.Requires), len(s.Rack), maxFieldSize))
	}
	if err := s.Need.Check(); err != nil {
		errs = append(errs, fmt.Errorf("steps[%d]: %w", i, err))
	}
	return errs
}

//go:generate go tool enumer -type=BatchEnd -text -transform=kebab -trimprefix=Batch -output=batch_gen.go

// BatchEnd is how a batch ended, or why it was not run.
type BatchEnd int

const (
	// BatchDone means that all tasks are done.
	BatchDone BatchEnd = iota
	// BatchFailed means that a task used up the attempts that its queue allows.
	BatchFailed
	// BatchRefused means that no task has run and none will.
	BatchRefused
	// BatchUnknown means that no queue matches the request.
	BatchUnknown
	// BatchGivenUp means that the batch was abandoned: some tasks may have run, and those that
	// still run are stopped, unless another caller of the batch still waits.
	BatchGivenUp
	// BatchCancelled means that a caller cancelled the batch.
	BatchCancelled
	// BatchInvalid means that the request is malformed.
	BatchInvalid
)

// BatchAnswer is the final answer to the caller of a batch.
type BatchAnswer struct {
	End        BatchEnd      `json:"end"`
	Reason     Reason        `json:"why"`
	RetryAfter time.Duration `json:"retry,omitempty"` // delay before the caller retries; 0 if the entry names none
	Text       string        `json:"text,omitempty"`  // remedy, for people
}

// Status returns the HTTP status of the answer.
func (e BatchEnd) Status() int {
	switch e {
	case BatchDone, BatchFailed:
		return http.StatusOK
	case BatchRefused:
		return http.StatusServiceUnavailable
	case BatchUnknown:
		return http.StatusNotFound
	case BatchCancelled:
		return http.StatusGone
	case BatchInvalid:
		return http.StatusBadRequest
	}
	return http.StatusGatewayTimeout
}
