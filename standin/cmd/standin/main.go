// Command standin runs a small stand-in for the platform, an executor or a worker.
//
// # Usage
//
//	standin platform --addr 127.0.0.1:0
//	standin executor --name e1 --dc ikeja --platform http://127.0.0.1:2379
//	standin worker --name w1 --dc ikeja --rack r1 --cores 16 --platform http://127.0.0.1:2379
//
// Each prints one line addr=IP:PORT once it listens. On SIGTERM it waits for the requests in flight and
// exits.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:     "standin",
		Usage:    "run a small stand-in for a system around cornelwall",
		Commands: []*cli.Command{platformCommand(), executorCommand(), workerCommand()},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
