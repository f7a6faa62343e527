package web

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"cornelwall"
)

// Problem is the answer to a request that was refused and changed nothing.
type Problem struct {
	Error    string   `json:"error"`              // what is wrong and what to do
	Problems []string `json:"problems,omitempty"` // one for each thing that is wrong with the input
}

// inputErr is an error of kind cornelwall.ErrInput that keeps its problems apart.
type inputErr struct {
	kind     error
	problems []string
}

func (e *inputErr) Error() string { return e.kind.Error() }
func (e *inputErr) Unwrap() error { return e.kind }

// InputError returns an error of kind cornelwall.ErrInput. An err that joins several
// errors is told as one problem each.
func InputError(err error) error {
	lines := strings.Split(err.Error(), "\n")
	kind := merry.Wrap(cornelwall.ErrInput, merry.AppendMessage(strings.Join(lines, "; ")))
	return &inputErr{kind: kind, problems: lines}
}

// WriteError sends an error as a Problem with the status that belongs to its kind.
func WriteError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	code := merry.HTTPCode(err)
	p := Problem{Error: err.Error()}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		code = he.Code
		p.Error = fmt.Sprint(he.Message)
		if errors.Is(he, echo.ErrNotFound) || errors.Is(he, echo.ErrMethodNotAllowed) {
			p.Error = "no such path and method; docs/callers.md and docs/operators.md list them"
		}
	}
	var ie *inputErr
	if errors.As(err, &ie) {
		p.Problems = ie.problems
	}
	_ = c.JSON(code, p) // the connection is gone if this fails
}
