package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func jobShowCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "show the state or the answer of a job",
		ArgsUsage: "TICKET",
		Description: `Shows the state of a job, until its ticket expires. A job that has not ended is pending;
--wait waits until it has ended. The exit code depends on the outcome in the same way as
that of "job submit"; it is 0 for a pending job.

Examples:
  cornelwall job show TICKET
  cornelwall job show --wait --timeout 10s --output json TICKET

` + exitCodesHelp(),
		Flags:  append(callerFlags(), &cli.BoolFlag{Name: "wait", Usage: "wait for the end of the job"}),
		Action: showJob,
	}
}

func showJob(ctx context.Context, c *cli.Command) error {
	t, cl, err := jobFromArgs(c)
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	stop := reportProgress(stderr(c), "the end of the job")
	a, err := cl.Fetch(ctx, t, c.Bool("wait"))
	stop()
	if err != nil {
		return err
	}
	return printAnswer(c, a)
}
