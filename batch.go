package cornelwall

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	maxSpec        = 4000 // bytes
	maxBatchTasks  = 1024 // tasks of a batch
	batchIDLen     = 16   // characters of the identity of a batch
	defaultStretch = 1    // of a queue that sets none
)

// Queue takes the requests to one prefix of a path on one host.
type Queue struct {
	Name      string        `json:"name"`
	Host      string        `json:"host"`
	Prefix    string        `json:"prefix"`
	Service   string        `json:"service"`
	Priority  int           `json:"priority"`  // 0 goes first
	Attempts  int           `json:"attempts"`  // failed runs of a task that fail its batch
	Timeout   time.Duration `json:"timeout"`   // of a request that names no deadline
	Objective time.Duration `json:"objective"` // added to the stretched run time
	Stretch   float64       `json:"stretch"`   // factor on the run time of the longest chain of tasks
}

// QueueConfig is all queues in force. Versions only go up.
type QueueConfig struct {
	Version uint64  `json:"version"`
	Queues  []Queue `json:"queues"`
}

// Check reports all that is wrong with the declaration.
func (d *QueueConfig) Check() error {
	var errs []error
	if d.Version == 0 {
		errs = append(errs, errors.New("declaration has version 0; versions begin at 1"))
	}
	for i := range d.Queues {
		q := &d.Queues[i]
		if q.Name == "" || !strings.HasPrefix(q.Prefix, "/") {
			errs = append(errs, fmt.Errorf("queues[%d] has name %q and prefix %q; set a name and a path", i, q.Name, q.Prefix))
		}
	}
	return errors.Join(errs...)
}

// Find returns the queue with the longest prefix of the path on the host, or nil.
func (d *QueueConfig) Find(host, path string) *Queue {
	var found *Queue
	for i := range d.Queues {
		q := &d.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (found == nil || len(q.Prefix) > len(found.Prefix)) {
			found = q
		}
	}
	return found
}

// TargetTime returns the time in which a batch should end whose longest chain of tasks
// takes work.
func (q *Queue) TargetTime(work time.Duration) time.Duration {
	return time.Duration(max(q.Stretch, defaultStretch)*float64(work)) + q.Objective
}

// lateFactor is how many times its objective a batch may take before its answer is of
// little use to the caller.
const lateFactor = 3

// UsefulTime returns the time after which the answer to a batch is of little use.
func (q *Queue) UsefulTime(work time.Duration) time.Duration { return lateFactor * q.TargetTime(work) }

// Step is tasks of a batch that are alike.
type Step struct {
	Count       int           `json:"count"`
	Need        Resources     `json:"need"`
	Estimate    time.Duration `json:"estimate,omitempty"`    // run time that the caller declares; a hint
	After       []int         `json:"after,omitempty"`       // earlier steps that must be done first
	Requires    string        `json:"requires,omitempty"`    // a label that the endpoint must have
	Rack        string        `json:"rack,omitempty"`        // label of the rack with the data
	PerEndpoint int           `json:"perendpoint,omitempty"` // tasks on one endpoint at once; 0 is no limit
}

// BatchJob is a job that is not kept: it runs while its caller waits, and the caller sends
// it again if no answer comes.
type BatchJob struct {
	ID    string
	Spec  string
	Steps []Step
}

// Check reports all that is wrong with the batch.
func (b *BatchJob) Check() error {
	var errs []error
	if len(b.ID) != batchIDLen || strings.Trim(b.ID, "0123456789abcdef") != "" {
		errs = append(errs, fmt.Errorf("id %q is not valid; use %d characters of 0-9 and a-f", b.ID, batchIDLen))
	}
	if len(b.Spec) > maxSpec {
		errs = append(errs, fmt.Errorf("spec has %d bytes; use at most %d", len(b.Spec), maxSpec))
	}
	n := 0
	for i := range b.Steps {
		s := &b.Steps[i]
		n += max(s.Count, 0)
		if s.Count < 1 {
			errs = append(errs, fmt.Errorf("steps[%d].count is %d; use 1 or more", i, s.Count))
		}
		for _, j := range s.After {
			if j < 0 || j >= i {
				errs = append(errs, fmt.Errorf("steps[%d].after names step %d; name earlier steps only", i, j))
			}
		}
		if err := s.Need.Check(); err != nil {
			errs = append(errs, fmt.Errorf("steps[%d]: %w", i, err))
		}
	}
	if n == 0 || n > maxBatchTasks {
		errs = append(errs, fmt.Errorf("batch has %d tasks; use 1 to %d", n, maxBatchTasks))
	}
	return errors.Join(errs...)
}

//go:generate go tool enumer -type=BatchEnd -text -transform=kebab -trimprefix=Batch -output=batch_gen.go

// BatchEnd is the final answer to a batch.
type BatchEnd int

const (
	// BatchDone means that all tasks are done.
	BatchDone BatchEnd = iota
	// BatchFailed means that a task failed as often as its queue allows.
	BatchFailed
	// BatchRefused means that nothing has run and nothing will.
	BatchRefused
	// BatchUnknown means that there is no such queue.
	BatchUnknown
	// BatchGivenUp means that some tasks may have run, and that what still runs is stopped.
	BatchGivenUp
	// BatchCancelled means that a caller has cancelled it.
	BatchCancelled
	// BatchInvalid means that the request cannot be understood.
	BatchInvalid
)

// BatchAnswer is the final answer to a batch.
type BatchAnswer struct {
	End        BatchEnd
	Reason     Reason
	RetryAfter time.Duration // when to come back, if refused
	Text       string        // what to do, for people
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
