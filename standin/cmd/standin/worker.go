package main

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/urfave/cli/v3"

	"cornelwall"
	"cornelwall/standin/worker"
)

func workerCommand() *cli.Command {
	return &cli.Command{
		Name:  "worker",
		Usage: "run a worker",
		Flags: append(machineFlags(),
			&cli.IntFlag{Name: "cores", Value: 16, Usage: "number of cores", Sources: cli.EnvVars("STANDIN_CORES")},
			&cli.IntFlag{Name: "memory", Value: 64 << 10, Usage: "memory in `MIB`", Sources: cli.EnvVars("STANDIN_MEMORY")},
			&cli.IntFlag{Name: "accelerators", Usage: "number of accelerators", Sources: cli.EnvVars("STANDIN_ACCELERATORS")},
			&cli.DurationFlag{Name: "lag", Usage: "delay until a change shows in the usage report", Sources: cli.EnvVars("STANDIN_LAG")},
		),
		Action: runWorker,
	}
}

func runWorker(ctx context.Context, cmd *cli.Command) error {
	capacity := cornelwall.Need{Cores: cmd.Int("cores"), Memory: cmd.Int("memory"), Accelerators: cmd.Int("accelerators")}
	w := worker.New(worker.Config{Capacity: capacity, Lag: cmd.Duration("lag")})
	defer w.Close()
	vm := vmFromFlags(cmd, cornelwall.Worker)
	vm.Capacity = capacity
	return serve(ctx, cmd, service{
		server: &http.Server{Handler: w},
		drain:  w.Drain,
		onListen: func(addr netip.AddrPort) error {
			vm.Addr = addr
			return registerVM(ctx, cmd.String("platform"), vm)
		},
	})
}
