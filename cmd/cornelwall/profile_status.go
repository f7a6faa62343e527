package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"cornelwall"
	"cornelwall/io/operator"
)

func profileStatusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show the version of a profile in force at each entry",
		ArgsUsage: "NAME",
		Description: `Shows the version that each entry has in force. The first entry to answer queries all
entries that it knows. An entry that does not answer, or has an older version, has not
confirmed the change. An entry is stale if it has not heard from the platform for some
seconds.

Examples:
  cornelwall profile status seat-holds
  cornelwall profile status --output json seat-holds | jq .inforce

` + exitCodesHelp(),
		Flags:  operatorFlags(),
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	ns, o, err := profilesFromArgs(c, 1)
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	var s operator.Status
	if err := o.read(ctx, "/v1/profiles/"+ns[0]+"/status", &s); err != nil {
		return err
	}
	t := &table{head: []string{"DATA CENTRE", "ENTRY", "VERSION", "STATE"}}
	for _, f := range s.Entries {
		t.add(f.Entry.DataCentre, f.Entry.Entry, formatVersion(f.Version), formatEntryState(&s, f))
	}
	return printResult(c, s, t)
}

// formatEntryState describes what one entry has confirmed.
func formatEntryState(s *operator.Status, f cornelwall.ProfileStatus) string {
	state := "in force"
	switch {
	case f.Missing:
		state = "no answer"
	case f.Version < s.Version:
		state = "not confirmed"
	case f.Retired:
		state = "retired"
	}
	if f.Stale {
		state += ", stale"
	}
	return state
}
