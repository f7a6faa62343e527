package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"cornelwall"
)

func ticketsCommand() *cli.Command {
	return &cli.Command{
		Name:  "tickets",
		Usage: "draw tickets",
		Description: `A ticket identifies a job. It is drawn before the job is submitted.

Examples:
  cornelwall tickets draw --profile seat-holds --count 10`,
		Commands: []*cli.Command{ticketsDrawCommand()},
	}
}

func ticketsDrawCommand() *cli.Command {
	return &cli.Command{
		Name:  "draw",
		Usage: "draw tickets of a profile's team",
		Description: `Draws tickets and prints one per line. A ticket is valid for one job of the profile's
team; a job that is submitted again under its ticket does not run again. Unused tickets
cost nothing and expire.

Examples:
  cornelwall tickets draw --profile seat-holds
  ticket=$(cornelwall tickets draw --profile seat-holds)
  cornelwall job submit --ticket "$ticket" job.json

` + exitCodesHelp(),
		Flags: append(callerFlags(),
			&cli.StringFlag{Name: "profile", Usage: "`NAME` of the profile", Sources: env("PROFILE")},
			&cli.IntFlag{Name: "count", Usage: "number of tickets, 1 to 1000", Value: 1}),
		Action: drawTickets,
	}
}

// maxDraw is the largest number of tickets in one draw, as in package client.
const maxDraw = 1000

func drawTickets(ctx context.Context, c *cli.Command) error {
	n := c.Int("count")
	err := cornelwall.CheckName("--profile", c.String("profile"))
	if n < 1 || n > maxDraw {
		err = errors.Join(err, fmt.Errorf("--count %d is out of range; use 1 to %d", n, maxDraw))
	}
	if err != nil {
		return usageError(err)
	}
	cl, err := newClient(c, c.String("profile"))
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	ts, err := cl.Draw(ctx, n)
	if err != nil {
		return err
	}
	if c.String("output") == outputJSON {
		return printResult(c, struct {
			Tickets []cornelwall.Ticket `json:"tickets"`
		}{ts}, nil)
	}
	for _, t := range ts {
		_, _ = fmt.Fprintln(stdout(c), t)
	}
	return nil
}
