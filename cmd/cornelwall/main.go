// Command cornelwall runs an entry of cornelwall, a dispatcher for sub-second tasks. It is also
// the command line client of operators and callers.
//
// # Usage
//
//	cornelwall serve --name ikeja-entry-0 --dc ikeja --store http://10.0.0.1:2379 ...
//	cornelwall profile apply profiles/
//	cornelwall job submit --profile seat-holds --task '{"seat":12}'
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := app().Run(ctx, os.Args); err != nil {
		printError(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// app returns the command with all its subcommands.
func app() *cli.Command {
	root := &cli.Command{
		Name:  "cornelwall",
		Usage: "dispatch sub-second tasks by declared profiles",
		Description: `Operators declare profiles, which define how a class of work is treated under load;
callers submit jobs that name a profile. Every task starts at most once, and every
answer states correctly what ran.

Flags can also be set by environment variables; each help page lists them.

` + exitCodesHelp(),
		Commands: []*cli.Command{
			serveCommand(),
			dispatchCommand(),
			profileCommand(),
			jobCommand(),
			ticketsCommand(),
			explainCommand(),
			checkCommand(),
			versionCommand(),
		},
	}
	handleUsageErrors(root)
	return root
}

// handleUsageErrors makes a command and its subcommands return invalid flags and unknown
// subcommands as errors of kind errUsage.
func handleUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return usageError(fmt.Errorf("%w; see \"%s --help\"", err, c.FullName()))
	}
	if c.Action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if name := c.Args().First(); name != "" {
				return usageError(fmt.Errorf("command %q is unknown; use one of: %s", name, strings.Join(commandNames(c.Commands), ", ")))
			}
			return cli.ShowSubcommandHelp(c)
		}
	}
	for _, sub := range c.Commands {
		handleUsageErrors(sub)
	}
}

func commandNames(cs []*cli.Command) []string {
	var ns []string
	for _, c := range cs {
		if c.Name != "help" {
			ns = append(ns, c.Name)
		}
	}
	return ns
}

func env(name string) cli.ValueSourceChain { return cli.EnvVars("CORNELWALL_" + name) }
