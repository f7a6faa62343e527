// Command cornelwall is a dispatcher for sub-second tasks.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := app().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "cornelwall:", err)
		os.Exit(exitCode(err))
	}
}

func app() *cli.Command {
	return &cli.Command{
		Name:  "cornelwall",
		Usage: "dispatch sub-second tasks by declared profiles",
		Commands: []*cli.Command{
			serveCommand(),
		},
	}
}

// exitCode returns the exit code of an error.
func exitCode(error) int { return 1 }
