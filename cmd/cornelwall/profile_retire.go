package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cornelwall"
)

func profileRetireCommand() *cli.Command {
	return &cli.Command{
		Name:      "retire",
		Usage:     "retire profiles for good",
		ArgsUsage: "NAME...",
		Description: `Retires profiles: entries refuse new jobs of a retired profile as not run, and finish the
jobs that they have accepted. A retired name cannot be used again. Retiring a profile
that is already retired changes nothing and is not an error.

Examples:
  cornelwall profile retire seat-holds
  cornelwall profile retire --expect 7 --wait seat-holds

` + exitCodesHelp(),
		Flags: append(operatorFlags(),
			&cli.BoolFlag{Name: "dry-run", Usage: "show what would be retired and change nothing"},
			&cli.Uint64Flag{Name: "expect", Usage: "fail unless the profile in force has this `VERSION`; for one profile only"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the retirement is in force at every entry"}),
		Action: retireProfiles,
	}
}

func retireProfiles(ctx context.Context, c *cli.Command) error {
	maxNames := 0
	if c.IsSet("expect") {
		maxNames = 1
	}
	ns, o, err := profilesFromArgs(c, maxNames)
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	plans, err := o.planRetire(ctx, ns)
	if err != nil {
		return err
	}
	return o.runPlans(ctx, c, plans)
}

// planRetire returns the plan for each profile. The error lists every name that does not exist.
func (o *operatorClient) planRetire(ctx context.Context, ns []string) ([]*plan, error) {
	var plans []*plan
	missing := &problemsError{kind: cornelwall.ErrMissing}
	for _, name := range ns {
		old, err := o.get(ctx, name)
		if err != nil {
			return nil, err
		}
		if old.Version == 0 {
			missing.problems = append(missing.problems, fmt.Sprintf("profile %q does not exist; \"profile list\" shows those that do", name))
		}
		pl := &plan{Name: name, Action: planRetire, Version: old.Version, old: old}
		if old.Retired {
			pl.Action = planUnchanged
		}
		plans = append(plans, pl)
	}
	if len(missing.problems) > 0 {
		return nil, missing
	}
	return plans, nil
}
