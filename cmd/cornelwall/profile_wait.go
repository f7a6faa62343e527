package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"cornelwall"
	"cornelwall/io/operator"
)

func profileWaitCommand() *cli.Command {
	return &cli.Command{
		Name:      "wait",
		Usage:     "wait until profiles are in force at every entry",
		ArgsUsage: "NAME...",
		Description: `Waits until every known entry has confirmed the version, by default the highest known
one. Prints on stderr which entries have not confirmed it yet. Exits with code 8 after
--timeout; the change remains accepted.

Examples:
  cornelwall profile wait seat-holds
  cornelwall profile wait --version 7 --timeout 20s seat-holds

` + exitCodesHelp(),
		Flags: append(operatorFlags(),
			&cli.Uint64Flag{Name: "version", Usage: "wait for this `VERSION` or a higher one; for one profile only"}),
		Action: waitForProfiles,
	}
}

func waitForProfiles(ctx context.Context, c *cli.Command) error {
	maxNames := 0
	if c.IsSet("version") {
		maxNames = 1
	}
	ns, o, err := profilesFromArgs(c, maxNames)
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	vs := map[string]uint64{}
	for _, name := range ns {
		vs[name] = c.Uint64("version")
	}
	return o.waitAllInForce(ctx, stderr(c), vs)
}

// waitAllInForce waits until the given version of each profile, or a higher one, is in force at
// every entry. Version 0 stands for the highest known version.
func (o *operatorClient) waitAllInForce(ctx context.Context, progress io.Writer, versions map[string]uint64) error {
	for _, name := range slices.Sorted(maps.Keys(versions)) {
		if err := o.waitInForce(ctx, progress, name, versions[name]); err != nil {
			return err
		}
	}
	return nil
}

func (o *operatorClient) waitInForce(ctx context.Context, progress io.Writer, name string, version uint64) error {
	lastLine := ""
	for wait := time.Duration(0); ; wait = maxStatusWait {
		var s operator.Status
		err := o.read(ctx, statusPath(ctx, name, version, wait), &s)
		switch {
		case err == nil && s.InForce:
			_, _ = fmt.Fprintf(progress, "profile %s: version %d is in force at all %d entries\n", name, s.Version, len(s.Entries))
			return nil
		case errors.Is(err, cornelwall.ErrAuth), errors.Is(err, cornelwall.ErrInput),
			errors.Is(err, cornelwall.ErrMissing) && version == 0:
			return err
		case ctx.Err() == nil || lastLine == "":
			line := describeUnconfirmed(name, &s, err)
			if line != lastLine {
				_, _ = fmt.Fprintln(progress, line)
			}
			lastLine = line
		}
		if cornelwall.Wait(ctx, retryPause) != nil {
			return merry.Wrap(errNotInForce, merry.AppendMessage(lastLine))
		}
	}
}

// statusPath returns the path of a status request that asks the entry to wait. The wait is shortened
// so that statusReserve is left until ctx ends.
func statusPath(ctx context.Context, name string, version uint64, wait time.Duration) string {
	if end, ok := ctx.Deadline(); ok {
		wait = max(0, min(wait, time.Until(end)-statusReserve))
	}
	return fmt.Sprintf("/v1/profiles/%s/status?wait=%s&version=%d", name, wait, version)
}

// describeUnconfirmed returns a progress line that names the entries still to confirm the version.
func describeUnconfirmed(name string, s *operator.Status, err error) string {
	if err != nil {
		return fmt.Sprintf("profile %s: waiting for an entry that answers: %v", name, err)
	}
	var unconfirmed []string
	for _, f := range s.Unconfirmed() {
		unconfirmed = append(unconfirmed, f.Entry.DataCentre+"."+f.Entry.Entry)
	}
	return fmt.Sprintf("profile %s: %d of %d entries have version %d; waiting for %s",
		name, len(s.Entries)-len(unconfirmed), len(s.Entries), s.Version, strings.Join(unconfirmed, ", "))
}
