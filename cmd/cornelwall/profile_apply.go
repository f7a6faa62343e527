package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"cornelwall"
)

func profileApplyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "create or change profiles as files declare them",
		ArgsUsage: "FILE|DIRECTORY...",
		Description: `Reads YAML files, and the .yaml and .yml files below directories, compares each profile
with the version in force, and applies and prints the differences. Nothing is changed if
any file has a problem or any name is retired. Profiles that no file declares are not
changed; retire them with "profile retire".

Each change replaces exactly the version that it was compared with: if someone else
changes the profile in between, the change is refused with exit code 6. A change whose
response is lost is sent again with the same ID, to any of the entries, and is applied
only once.

Examples:
  cornelwall profile apply --dry-run profiles/       # shows what would change
  cornelwall profile apply --wait profiles/          # returns once everything is in force
  cornelwall profile apply --expect 7 seat-holds.yaml

` + exitCodesHelp(),
		Flags: append(operatorFlags(),
			&cli.BoolFlag{Name: "dry-run", Usage: "show what would change and change nothing"},
			&cli.Uint64Flag{Name: "expect", Usage: "fail unless the profile in force has this `VERSION`; for one profile only"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the changes are in force at every entry"}),
		Action: func(ctx context.Context, c *cli.Command) error { return applyFiles(ctx, c, false) },
	}
}

func profileCreateCommand() *cli.Command {
	return &cli.Command{
		Name:      "create",
		Usage:     "create profiles that do not exist yet",
		ArgsUsage: "FILE|DIRECTORY...",
		Description: `Creates the profiles that the files declare. Nothing is created if any file has a
problem, or if any of the names exists or is retired; use "profile apply" to change a
profile.

Examples:
  cornelwall profile create seat-holds.yaml
  cornelwall profile create --dry-run profiles/

` + exitCodesHelp(),
		Flags: append(operatorFlags(),
			&cli.BoolFlag{Name: "dry-run", Usage: "show what would be created and create nothing"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the profiles are in force at every entry"}),
		Action: func(ctx context.Context, c *cli.Command) error { return applyFiles(ctx, c, true) },
	}
}

// Actions of a plan.
const (
	planCreate    = "create"
	planChange    = "change"
	planRetire    = "retire"
	planUnchanged = "unchanged"
)

// plan is the action of a command on one profile.
type plan struct {
	Name    string   `json:"name"`
	Action  string   `json:"action"`
	Changes []string `json:"changes,omitempty"`
	Version uint64   `json:"version"`          // the accepted one, or else the one in force
	Result  string   `json:"result,omitempty"` // "accepted", "unchanged" or the error; empty on a dry run

	want cornelwall.Profile
	old  cornelwall.Profile
}

func applyFiles(ctx context.Context, c *cli.Command, create bool) error {
	ds, err := readProfiles(c.Args().Slice())
	if err == nil && c.IsSet("expect") && len(ds) != 1 {
		err = fmt.Errorf("--expect goes with one profile, but the files declare %d; name one file", len(ds))
	}
	if err != nil {
		return usageError(err)
	}
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	plans, err := o.planApply(ctx, ds, create)
	if err != nil {
		return err
	}
	return o.runPlans(ctx, c, plans)
}

// runPlans checks --expect, then applies the plans and prints them. With --dry-run it only prints
// them; with --wait it also waits until the changes are in force.
func (o *operatorClient) runPlans(ctx context.Context, c *cli.Command, plans []*plan) error {
	if want := c.Uint64("expect"); c.IsSet("expect") && plans[0].old.Version != want {
		return merry.Wrap(cornelwall.ErrConflict, merry.AppendMessagef("profile %q is at version %d, not %d",
			plans[0].Name, plans[0].old.Version, want))
	}
	if c.Bool("dry-run") {
		return printPlans(c, plans)
	}
	err := o.applyPlans(ctx, plans)
	if serr := printPlans(c, plans); err == nil {
		err = serr
	}
	if err == nil && c.Bool("wait") {
		err = o.waitAllInForce(ctx, stderr(c), plannedVersions(plans))
	}
	return err
}

// planApply compares each profile with the version in force and returns its plan. The error lists
// every profile that cannot be applied.
func (o *operatorClient) planApply(ctx context.Context, ds []declaredProfile, create bool) ([]*plan, error) {
	var plans []*plan
	p := &problemsError{kind: cornelwall.ErrConflict}
	for _, d := range ds {
		old, err := o.get(ctx, d.Name)
		if err != nil {
			return nil, err
		}
		switch {
		case old.Retired:
			p.problems = append(p.problems, fmt.Sprintf("%s: profile %q is retired; choose another name", d.position, d.Name))
		case create && old.Version != 0:
			p.problems = append(p.problems, fmt.Sprintf("%s: profile %q exists at version %d; change it with \"profile apply\"", d.position, d.Name, old.Version))
		}
		plans = append(plans, newPlan(old, d.Profile))
	}
	if len(p.problems) > 0 {
		return nil, p
	}
	return plans, nil
}

func newPlan(old, want cornelwall.Profile) *plan {
	pl := &plan{Name: want.Name, Version: old.Version, old: old, want: want, Action: planChange}
	if old.Version == 0 {
		pl.Action = planCreate
		for _, f := range fieldsOf(&want)[1:] {
			pl.Changes = append(pl.Changes, f.name+" "+f.value)
		}
		return pl
	}
	pl.Changes = differences(&old, &want)
	if len(pl.Changes) == 0 {
		pl.Action = planUnchanged
	}
	return pl
}

// applyPlans carries out all plans, even if some of them fail, and records the results. The error
// joins those of all plans.
func (o *operatorClient) applyPlans(ctx context.Context, plans []*plan) error {
	var errs []error
	for _, pl := range plans {
		var ch *change
		switch pl.Action {
		case planUnchanged:
			pl.Result = planUnchanged
			continue
		case planRetire:
			ch = newChange(http.MethodDelete, pl.Name, nil, pl.old.Version)
		default:
			ch = newChange(http.MethodPut, pl.Name, pl.want, pl.old.Version)
		}
		p, err := o.sendChange(ctx, ch)
		if err != nil {
			pl.Result = err.Error()
			errs = append(errs, fmt.Errorf("profile %q: %w", pl.Name, err))
			continue
		}
		pl.Version, pl.Result = p.Version, "accepted"
	}
	return errors.Join(errs...)
}

func printPlans(c *cli.Command, plans []*plan) error {
	t := &table{head: []string{"PROFILE", "ACTION", "VERSION", "RESULT", "CHANGES"}}
	for _, pl := range plans {
		result := pl.Result
		if c.Bool("dry-run") {
			result = "dry run"
		}
		t.add(pl.Name, pl.Action, formatVersion(pl.Version), result, strings.Join(pl.Changes, ", "))
	}
	return printResult(c, plans, t)
}

// plannedVersions returns the version of each profile to wait for.
func plannedVersions(plans []*plan) map[string]uint64 {
	vs := map[string]uint64{}
	for _, pl := range plans {
		vs[pl.Name] = pl.Version
	}
	return vs
}
