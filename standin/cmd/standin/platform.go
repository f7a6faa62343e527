package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"cornelwall/standin/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the key-value service and the VM list",
		Flags: []cli.Flag{
			addrFlag(),
			&cli.DurationFlag{Name: "lag", Usage: "delay until a change shows in the VM list", Sources: cli.EnvVars("STANDIN_LAG")},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	p := platform.New(platform.Config{Lag: cmd.Duration("lag")})
	drain := func(context.Context) { p.Close() } // watches never end by themselves
	return serve(ctx, cmd, service{server: &http.Server{Handler: p}, drain: drain})
}
