package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"

	"cornelwall"
	"cornelwall/client"
)

// Exit codes of all commands.
const (
	exitOK = iota
	exitOther
	exitInput
	exitNotRun
	exitFailed
	exitUnknown
	exitConflict
	exitUnreachable
	exitNotInForce
)

// exitCodes lists the meaning of each exit code.
var exitCodes = []struct {
	code    int
	meaning string
}{
	{exitOK, "done"},
	{exitOther, "any other error"},
	{exitInput, "wrong use, input, name or token; nothing was changed"},
	{exitNotRun, "the job did not run and will not"},
	{exitFailed, "the job failed; at least one task started"},
	{exitUnknown, "whether the job ran or the change was accepted is not known"},
	{exitConflict, "the profile exists, is retired, or was changed by someone else"},
	{exitUnreachable, "no entry, or not the platform, could be reached; nothing was changed"},
	{exitNotInForce, "the profile is accepted, but not in force everywhere in time"},
}

// exitCodesHelp returns the section of a help page on exit codes.
func exitCodesHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:\n")
	for _, e := range exitCodes {
		fmt.Fprintf(&b, "  %d  %s\n", e.code, e.meaning)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// Kinds of errors of the command line.
var (
	errUsage = merry.New("invalid use of the command line")
	// errChangeUnknown reports a change of a profile that may or may not have been accepted.
	errChangeUnknown = merry.New("whether the change was accepted is not known; check \"profile status\" before repeating it")
	// errNotInForce reports an accepted change that some entry did not confirm before the timeout.
	errNotInForce = merry.New("not in force at every entry before the timeout; the change remains accepted, see \"profile status\" for the entries that have not confirmed it")
)

// problemsError is a list of problems with the user's input.
type problemsError struct {
	kind     error
	problems []string
}

func (e *problemsError) Error() string { return strings.Join(e.problems, "\n") }
func (e *problemsError) Unwrap() error { return e.kind }

// usageError returns an error of kind errUsage with one problem per joined error.
func usageError(err error) error {
	return &problemsError{kind: errUsage, problems: strings.Split(err.Error(), "\n")}
}

// printError prints one line for each problem.
func printError(w io.Writer, err error) {
	for _, line := range strings.Split(err.Error(), "\n") {
		_, _ = fmt.Fprintln(w, "cornelwall:", line)
	}
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	for _, k := range []struct {
		kind error
		code int
	}{
		{errUsage, exitInput},
		{client.ErrUnknown, exitUnknown},
		{errChangeUnknown, exitUnknown},
		{client.ErrNotRun, exitNotRun},
		{client.ErrFailed, exitFailed},
		{errNotInForce, exitNotInForce},
		{cornelwall.ErrInput, exitInput},
		{cornelwall.ErrAuth, exitInput},
		{cornelwall.ErrMissing, exitInput},
		{cornelwall.ErrConflict, exitConflict},
		{cornelwall.ErrExists, exitConflict},
		{cornelwall.ErrRetired, exitConflict},
		{cornelwall.ErrPeer, exitUnreachable},
		{cornelwall.ErrStore, exitUnreachable},
		{cornelwall.ErrStopping, exitUnreachable},
	} {
		if errors.Is(err, k.kind) {
			return k.code
		}
	}
	return exitOther
}
