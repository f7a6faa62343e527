// Command load starts a small local system, submits jobs to it and reports the ratio of response time
// to ideal response time, messages per task, refusals and outcomes.
//
// # Usage
//
//	go run ./standin/cmd/load --clients 8 --jobs 2000
//	go run ./standin/cmd/load --rate 100 --duration 30s --tasks 8 --task-time 50ms --json
//
// With --clients that many callers each submit the next job after the answer to the last one (closed
// loop). With --rate jobs are due at fixed times, and the response time counts from the time when the
// job was due (open loop). The ideal response time of a job is the run time of its longest task.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"cornelwall"
	"cornelwall/standin/local"
)

const startTimeout = 2 * time.Minute

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "measure a small local system under load",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "clients", Value: 8, Usage: "number of callers of the closed loop"},
			&cli.FloatFlag{Name: "rate", Usage: "jobs per second of the open loop; 0 selects the closed loop"},
			&cli.IntFlag{Name: "jobs", Value: 1000, Usage: "maximum number of jobs"},
			&cli.DurationFlag{Name: "duration", Value: time.Minute, Usage: "maximum duration of the load"},
			&cli.IntFlag{Name: "tasks", Value: 8, Usage: "tasks per job"},
			&cli.DurationFlag{Name: "task-time", Value: 50 * time.Millisecond, Usage: "run time of each task"},
			&cli.IntFlag{Name: "centres", Value: 2, Usage: "number of data centres"},
			&cli.IntFlag{Name: "entries", Value: 2, Usage: "entries per data centre"},
			&cli.IntFlag{Name: "executors", Value: 4, Usage: "executors per data centre, with 8 slots each"},
			&cli.StringFlag{Name: "programs", Usage: "`DIR` of programs that are already built; empty builds them"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
		},
		Action: run,
	}
}

// checkFlags reports every invalid flag.
func checkFlags(c *cli.Command) error {
	var errs []error
	for _, name := range []string{"clients", "jobs", "tasks", "centres", "entries", "executors"} {
		if c.Int(name) < 1 {
			errs = append(errs, fmt.Errorf("--%s %d is too small; use 1 or more", name, c.Int(name)))
		}
	}
	if c.Int("tasks") > cornelwall.MaxTasks {
		errs = append(errs, fmt.Errorf("--tasks %d is too large; use at most %d", c.Int("tasks"), cornelwall.MaxTasks))
	}
	for _, name := range []string{"duration", "task-time"} {
		if c.Duration(name) <= 0 {
			errs = append(errs, fmt.Errorf("--%s %s is not positive; use a duration such as 50ms", name, c.Duration(name)))
		}
	}
	if c.Float("rate") < 0 {
		errs = append(errs, fmt.Errorf("--rate %g is negative; use jobs per second, or 0 for the closed loop", c.Float("rate")))
	}
	return errors.Join(errs...)
}

func run(ctx context.Context, c *cli.Command) error {
	if err := checkFlags(c); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "cornelwall-load-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	var centres []string
	for i := range c.Int("centres") {
		centres = append(centres, fmt.Sprintf("dc-%d", i))
	}
	sctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	sys, err := local.Start(sctx, local.Config{
		Dir: dir, Programs: c.String("programs"), DataCentres: centres,
		Entries: c.Int("entries"), Executors: c.Int("executors"),
	})
	if err != nil {
		return err
	}
	if err := sys.Apply(sctx, profile); err != nil {
		return errors.Join(err, sys.Stop())
	}
	r, err := measure(ctx, sys, loadPlan{
		clients: c.Int("clients"), rate: c.Float("rate"), jobs: c.Int("jobs"), maxDuration: c.Duration("duration"),
		tasks: c.Int("tasks"), taskTime: c.Duration("task-time"),
	})
	if err := errors.Join(err, sys.Stop()); err != nil {
		return err
	}
	if c.Bool("json") {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	r.print(os.Stdout)
	return r.Audit.Err()
}
