package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"cornelwall"
	"cornelwall/client"
)

const (
	progressInterval = 2 * time.Second // between the lines that reportProgress prints

	// anyProfile is the profile of clients that only send requests on existing tickets. Such
	// requests name no profile, but client.New requires one.
	anyProfile = "any"
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, show and cancel jobs",
		Description: `A job is a list of tasks with one common answer. The commands connect to the callers'
listener of any entry.

Examples:
  cornelwall job submit --profile seat-holds --task '{"seat":12}'
  cornelwall job show --wait TICKET
  cornelwall job cancel TICKET`,
		Commands: []*cli.Command{
			jobSubmitCommand(),
			jobShowCommand(),
			jobCancelCommand(),
		},
	}
}

// callerFlags are the flags of commands that connect to the callers' listeners.
func callerFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "`URL` of the callers' listener of an entry, or of the load balancer; may be repeated, and the URLs are tried in turn",
			Value: []string{"http://127.0.0.1:7000"}, Sources: env("CALLER_ENTRIES")},
		&cli.DurationFlag{Name: "timeout", Usage: "timeout of the whole command", Value: time.Minute, Sources: env("TIMEOUT")},
		outputFlag(),
	}
}

// newClient returns a client with the settings of the flags. Commands on an existing ticket pass
// anyProfile.
func newClient(c *cli.Command, profile string) (*client.Client, error) {
	entries, err := readEntries(c)
	if err = errors.Join(err, checkTimeout(c)); err != nil {
		return nil, usageError(err)
	}
	return client.New(client.Config{Entries: entries, Profile: profile, Ahead: 1})
}

// ticketFromArgs returns the one ticket given as an argument.
func ticketFromArgs(c *cli.Command) (cornelwall.Ticket, error) {
	if c.Args().Len() != 1 {
		return cornelwall.Ticket{}, usageError(fmt.Errorf("%d tickets are named; name one", c.Args().Len()))
	}
	t, err := cornelwall.ParseTicket(c.Args().First())
	if err != nil {
		return t, usageError(err)
	}
	return t, nil
}

// jobFromArgs returns the ticket given as an argument and a client of the callers' API.
func jobFromArgs(c *cli.Command) (cornelwall.Ticket, *client.Client, error) {
	t, err := ticketFromArgs(c)
	if err != nil {
		return t, nil, err
	}
	cl, err := newClient(c, anyProfile)
	return t, cl, err
}

// printAnswer prints an answer and returns the error for its outcome.
func printAnswer(c *cli.Command, a cornelwall.Answer) error {
	t := &table{head: []string{"TASK", "OUTCOME", "REASON", "ANSWER"}}
	t.add("all", a.Outcome.String(), formatReason(a.Reason), a.Text)
	for i, task := range a.Tasks {
		t.add(strconv.Itoa(i), task.Outcome.String(), formatReason(task.Reason), formatBody(task.Body))
	}
	if err := printResult(c, a, t); err != nil {
		return err
	}
	return client.Err(a)
}

func formatReason(r cornelwall.Reason) string {
	if r == cornelwall.ReasonNone {
		return "-"
	}
	return r.String()
}

// reportProgress prints every progressInterval that the command still waits for the goal, until
// the function that it returns is called.
func reportProgress(w io.Writer, goal string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(done)
		for cornelwall.Wait(ctx, progressInterval) == nil {
			_, _ = fmt.Fprintf(w, "waiting for %s, %s so far\n", goal, time.Since(start).Round(time.Second))
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
