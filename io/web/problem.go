package web

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"cornelwall"
)

// ErrorResponse is the answer to a request that was rejected and had no effect.
type ErrorResponse struct {
	Error    string   `json:"error"`              // what is wrong and how to correct it
	Problems []string `json:"problems,omitempty"` // one for each problem of the input
}

// inputErr is an error of kind cornelwall.ErrInput with a list of its problems.
type inputErr struct {
	kind     error
	problems []string
}

func (e *inputErr) Error() string { return e.kind.Error() }
func (e *inputErr) Unwrap() error { return e.kind }

// InputError returns an error of kind cornelwall.ErrInput. If err joins several errors, each of
// them becomes a problem.
func InputError(err error) error {
	lines := strings.Split(err.Error(), "\n")
	kind := merry.Wrap(cornelwall.ErrInput, merry.AppendMessage(strings.Join(lines, "; ")))
	return &inputErr{kind: kind, problems: lines}
}

// WriteError sends an error as an ErrorResponse with the HTTP status of its kind.
func WriteError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	code := merry.HTTPCode(err)
	p := ErrorResponse{Error: err.Error()}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		code = httpErr.Code
		p.Error = fmt.Sprint(httpErr.Message)
		if errors.Is(httpErr, echo.ErrNotFound) || errors.Is(httpErr, echo.ErrMethodNotAllowed) {
			p.Error = "no such path and method; docs/callers.md and docs/operators.md list them"
		}
	}
	var input *inputErr
	if errors.As(err, &input) {
		p.Problems = input.problems
	}
	_ = c.JSON(code, p) // an error means that the connection is closed
}
