package client

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"

	"cornelwall"
)

// Kinds of errors, in addition to cornelwall.ErrInput and cornelwall.ErrPeer. Compare with
// errors.Is.
var (
	// ErrFailed means that at least one task started and the job has no result.
	ErrFailed = merry.New("job failed; look at the outcome of each task before you submit the work again")
	// ErrNotRun means that no task of the job has started and none will.
	ErrNotRun = merry.New("job did not run and will not; submit it again under a new ticket")
	// ErrUnknown means that it is not known whether the job ran.
	ErrUnknown = merry.New("whether the job ran is not known; ask again under the same ticket unless the answer is final")
)

// Error reports a job that has no result. It wraps its kind and its cause.
type Error struct {
	Kind   error             // ErrFailed, ErrNotRun or ErrUnknown
	Answer cornelwall.Answer // the last one; Fetch with its ticket asks again
	Cause  error             // error of the last request, if that had no answer
}

// Error returns the message of the kind, the reason, the cause and the ticket.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Kind.Error())
	if e.Answer.Reason != cornelwall.ReasonNone {
		fmt.Fprintf(&b, ": %s", e.Answer.Reason)
	}
	if e.Answer.Text != "" {
		fmt.Fprintf(&b, ": %s", e.Answer.Text)
	}
	if e.Cause != nil {
		fmt.Fprintf(&b, ": %s", e.Cause)
	}
	if !e.Answer.Ticket.IsZero() {
		fmt.Fprintf(&b, " (ticket %s)", e.Answer.Ticket)
	}
	return b.String()
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}

// Err returns the *Error for an answer, or nil if its outcome is done or pending.
func Err(a cornelwall.Answer) error {
	switch a.Outcome {
	case cornelwall.Failed:
		return &Error{Kind: ErrFailed, Answer: a}
	case cornelwall.NotRun:
		return &Error{Kind: ErrNotRun, Answer: a}
	case cornelwall.Unknown:
		return &Error{Kind: ErrUnknown, Answer: a}
	}
	return nil
}

// notRunError returns the error of a job that was never sent, because the entry could not be
// reached or the context ended.
func notRunError(cause error) error {
	return &Error{Kind: ErrNotRun, Cause: cause,
		Answer: cornelwall.Answer{Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonConnect, Final: true}}
}

// unknownError returns the error of a job that was sent and has no final answer.
func unknownError(t cornelwall.Ticket, last cornelwall.Answer, cause error) error {
	if last.Outcome != cornelwall.Unknown {
		last = cornelwall.Answer{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonLost}
	}
	last.Ticket = t
	return &Error{Kind: ErrUnknown, Answer: last, Cause: cause}
}

func inputError(err error) error {
	return merry.Wrap(cornelwall.ErrInput, merry.AppendMessage(strings.ReplaceAll(err.Error(), "\n", "; ")))
}
