package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"cornelwall"
	"cornelwall/client"
)

func jobSubmitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a job and print its answer",
		ArgsUsage: "[FILE]",
		Description: `Draws a ticket, prints it on stderr, submits the job under it and waits for the answer.
If the connection is lost, or the outcome is not known yet, the job is submitted again
under the same ticket, to any of the entries, until --timeout; no task starts twice. If
the command is interrupted, "job show --wait TICKET" fetches the answer, and "job submit
--ticket TICKET" with the same job submits it again.

The job is a JSON file as described in docs/callers.md ("-" reads stdin), with bodies in
base64, or is given by --profile and --task, with bodies as plain text.

Examples:
  cornelwall job submit --profile seat-holds --task '{"seat":12}' --task '{"seat":13}'
  cornelwall job submit --output json job.json
  generate-job | cornelwall job submit --timeout 10s -

` + exitCodesHelp(),
		DisableSliceFlagSeparator: true, // bodies may contain commas
		Flags: append(callerFlags(),
			&cli.StringFlag{Name: "profile", Usage: "`NAME` of the profile, unless a file sets it", Sources: env("PROFILE")},
			&cli.StringSliceFlag{Name: "task", Usage: "`BODY` of a task, instead of a file; may be repeated"},
			&cli.DurationFlag{Name: "left", Usage: "time left until the deadline; 0 uses the profile's deadline", Sources: env("LEFT")},
			&cli.StringFlag{Name: "ticket", Usage: "`TICKET` to submit under, instead of drawing one"}),
		Action: submitJob,
	}
}

func submitJob(ctx context.Context, c *cli.Command) error {
	job, err := readJob(c)
	if err != nil {
		return usageError(err)
	}
	cl, err := newClient(c, job.Profile)
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	if job.Ticket.IsZero() {
		ts, err := cl.Draw(ctx, 1)
		if err != nil {
			return err
		}
		job.Ticket = ts[0]
	}
	_, _ = fmt.Fprintln(stderr(c), "ticket", job.Ticket)
	stop := reportProgress(stderr(c), "the answer")
	a, err := cl.Submit(ctx, job)
	stop()
	var e *client.Error
	if err != nil && !errors.As(err, &e) {
		return err
	}
	if serr := printAnswer(c, a); err == nil {
		err = serr
	}
	return err
}

// readJob reads the job from the file or the flags and reports every problem with it.
func readJob(c *cli.Command) (cornelwall.Job, error) {
	var job cornelwall.Job
	byFlags := c.IsSet("task")
	var errs []error
	switch {
	case c.Args().Len() > 1:
		return job, fmt.Errorf("%d files are named; name one", c.Args().Len())
	case c.Args().Len() == 1 && byFlags:
		return job, errors.New("a file and --task are both given; use one")
	case c.Args().Len() == 1:
		var err error
		if job, err = readJobFile(c.Args().First()); err != nil {
			return job, err
		}
	case !byFlags:
		errs = append(errs, errors.New("no job is given; name a file, or use --profile and --task"))
	}
	for _, body := range c.StringSlice("task") {
		job.Tasks = append(job.Tasks, cornelwall.Task{Body: []byte(body)})
	}
	if job.Profile == "" {
		job.Profile = c.String("profile")
	}
	if c.IsSet("left") {
		job.TimeLeft = cornelwall.Duration(c.Duration("left"))
	}
	if s := c.String("ticket"); s != "" {
		t, err := cornelwall.ParseTicket(s)
		errs = append(errs, err)
		job.Ticket = t
	}
	if len(errs) == 0 {
		errs = append(errs, job.Check())
	}
	return job, errors.Join(errs...)
}

// readJobFile reads a job as JSON.
func readJobFile(path string) (cornelwall.Job, error) {
	var job cornelwall.Job
	var text []byte
	var err error
	if path == "-" {
		text, err = io.ReadAll(os.Stdin)
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return job, fmt.Errorf("%w; name a file that can be read", err)
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&job); err != nil {
		line := 1 + bytes.Count(text[:min(int(dec.InputOffset()), len(text))], []byte("\n"))
		return job, fmt.Errorf("%s:%d: not a job as docs/callers.md describes it: %w", path, line, err)
	}
	return job, nil
}
