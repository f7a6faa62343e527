package main

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/urfave/cli/v3"

	"cornelwall"
	"cornelwall/standin/executor"
)

func executorCommand() *cli.Command {
	return &cli.Command{
		Name:  "executor",
		Usage: "run an executor",
		Flags: append(machineFlags(),
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "maximum number of concurrent tasks", Sources: cli.EnvVars("STANDIN_SLOTS")},
			&cli.IntFlag{Name: "conns", Value: 64, Usage: "maximum number of connections", Sources: cli.EnvVars("STANDIN_CONNS")},
			&cli.BoolFlag{Name: "busy", Usage: "refuse tasks beyond the slots instead of queueing them", Sources: cli.EnvVars("STANDIN_BUSY")},
		),
		Action: runExecutor,
	}
}

func runExecutor(ctx context.Context, cmd *cli.Command) error {
	e := executor.New(executor.Config{Slots: cmd.Int("slots"), Conns: cmd.Int("conns"), RefuseWhenFull: cmd.Bool("busy")})
	vm := vmFromFlags(cmd, cornelwall.Executor)
	vm.Slots, vm.Conns = cmd.Int("slots"), cmd.Int("conns")
	return serve(ctx, cmd, service{
		server: &http.Server{Handler: e, ConnState: e.ConnState},
		drain:  e.Drain,
		onListen: func(addr netip.AddrPort) error {
			vm.Addr = addr
			return registerVM(ctx, cmd.String("platform"), vm)
		},
	})
}
