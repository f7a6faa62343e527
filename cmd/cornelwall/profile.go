package main

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"cornelwall"
)

func profileCommand() *cli.Command {
	return &cli.Command{
		Name:  "profile",
		Usage: "create, change, retire and inspect profiles",
		Description: `Profiles are declared in YAML files, which are kept in version control and applied from
there. A change is accepted once it is in the platform's store, and in force once every
entry has confirmed it. The commands connect to the operators' listener of any entry.

Examples:
  cornelwall profile apply --dry-run profiles/
  cornelwall profile apply --wait profiles/
  cornelwall profile status seat-holds`,
		Commands: []*cli.Command{
			profileCreateCommand(),
			profileApplyCommand(),
			profileRetireCommand(),
			profileListCommand(),
			profileShowCommand(),
			profileStatusCommand(),
			profileWaitCommand(),
		},
	}
}

// profileNamesFromArgs returns the names given as arguments and reports every problem with them.
// A maxNames of 0 is no limit.
func profileNamesFromArgs(c *cli.Command, maxNames int) ([]string, error) {
	ns := c.Args().Slice()
	var errs []error
	if len(ns) == 0 {
		errs = append(errs, errors.New("no profile is named; name one"))
	}
	if maxNames > 0 && len(ns) > maxNames {
		errs = append(errs, fmt.Errorf("%d profiles are named; name %d", len(ns), maxNames))
	}
	for _, name := range ns {
		errs = append(errs, cornelwall.CheckName("profile", name))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, usageError(err)
	}
	return ns, nil
}

// profilesFromArgs returns the names given as arguments and a client of the operators' API.
func profilesFromArgs(c *cli.Command, maxNames int) ([]string, *operatorClient, error) {
	ns, err := profileNamesFromArgs(c, maxNames)
	if err != nil {
		return nil, nil, err
	}
	o, err := newOperatorClient(c)
	return ns, o, err
}

// profileTable returns a table of profiles.
func profileTable(ps ...cornelwall.Profile) *table {
	t := &table{head: []string{"NAME", "VERSION", "STATE", "TEAM", "CLASS", "DEADLINE", "QUEUE", "CONCURRENCY", "QUOTA", "IDEMPOTENT", "STALE"}}
	for i := range ps {
		p := &ps[i]
		row := []string{p.Name, formatVersion(p.Version), formatState(p)}
		for _, f := range fieldsOf(p)[1:] {
			row = append(row, f.value)
		}
		t.add(row...)
	}
	return t
}

func formatVersion(v uint64) string { return strconv.FormatUint(v, 10) }

func formatState(p *cornelwall.Profile) string {
	if p.Retired {
		return "retired"
	}
	return "in force"
}
