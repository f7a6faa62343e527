package main

import (
	"context"
	"slices"

	"github.com/urfave/cli/v3"

	"cornelwall"
)

func profileListCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list the profiles in force at an entry",
		Description: `Lists the profiles that the first entry to answer knows.

Examples:
  cornelwall profile list
  cornelwall profile list --retired --output json

` + exitCodesHelp(),
		Flags: append(operatorFlags(),
			&cli.BoolFlag{Name: "retired", Usage: "list retired profiles too"}),
		Action: listProfiles,
	}
}

func listProfiles(ctx context.Context, c *cli.Command) error {
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	var all cornelwall.Profiles
	if err := o.read(ctx, "/v1/profiles", &all); err != nil {
		return err
	}
	if !c.Bool("retired") {
		all.Profiles = slices.DeleteFunc(all.Profiles, func(p cornelwall.Profile) bool { return p.Retired })
	}
	return printResult(c, all, profileTable(all.Profiles...))
}
