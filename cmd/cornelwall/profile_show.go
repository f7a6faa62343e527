package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"cornelwall"
)

func profileShowCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "show one profile",
		ArgsUsage: "NAME",
		Description: `Shows the version of a profile that the first entry to answer has in force, as needed
for --expect.

Examples:
  cornelwall profile show seat-holds
  cornelwall profile show --output json seat-holds

` + exitCodesHelp(),
		Flags:  operatorFlags(),
		Action: showProfile,
	}
}

func showProfile(ctx context.Context, c *cli.Command) error {
	ns, o, err := profilesFromArgs(c, 1)
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	var p cornelwall.Profile
	if err := o.read(ctx, "/v1/profiles/"+ns[0], &p); err != nil {
		return err
	}
	return printResult(c, p, profileTable(p))
}
