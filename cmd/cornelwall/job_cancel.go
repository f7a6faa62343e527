package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"cornelwall/client"
)

func jobCancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a job",
		ArgsUsage: "TICKET",
		Description: `Cancels a job: queued tasks are dropped, tasks that have started may continue. Prints the
outcome of the job. A job that had not started is then "notrun", even if it is submitted
later; one that had ended keeps its answer. The exit code is 0 in all these cases, and 5
if the outcome is unknown.

Examples:
  cornelwall job cancel TICKET

` + exitCodesHelp(),
		Flags:  callerFlags(),
		Action: cancelJob,
	}
}

func cancelJob(ctx context.Context, c *cli.Command) error {
	t, cl, err := jobFromArgs(c)
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	a, err := cl.Cancel(ctx, t)
	if err != nil {
		return err
	}
	err = printAnswer(c, a)
	if errors.Is(err, client.ErrNotRun) || errors.Is(err, client.ErrFailed) {
		return nil
	}
	return err
}
