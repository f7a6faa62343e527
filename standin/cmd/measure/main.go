// Command measure simulates the dispatch policies at the sizes of both users' sites, under load and
// faults, and compares them with an ideal dispatcher.
//
// # Usage
//
//	go run ./standin/cmd/measure --out docs/measurements
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"

	"github.com/urfave/cli/v3"

	"cornelwall/standin/measure"
)

const description = `Simulates every policy at loads of 50 to 110 percent and under faults, at the sizes of
Ewaoko and Tokachi, with a virtual clock. The same seeds give the same figures.

   measure                                 all, to standard output
   measure --out docs/measurements         all, with runs.csv, tables.md and plots
   measure --seeds 1 --case load           the loads only, with seed 1`

func main() {
	cmd := &cli.Command{
		Name:        "measure",
		Usage:       "measure the dispatch policies under load and faults",
		Description: description,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds, which count from 1"},
			&cli.IntFlag{Name: "workers", Value: max(1, runtime.NumCPU()/2), Usage: "number of concurrent simulations"},
			&cli.StringFlag{Name: "case", Usage: "only the cases of this name"},
			&cli.FloatFlag{Name: "load", Usage: "only the cases of this load, for example 0.8"},
			&cli.StringFlag{Name: "policy", Usage: "only the policy of this name"},
			&cli.StringFlag{Name: "site", Usage: "only the site of this name"},
			&cli.StringFlag{Name: "out", Usage: "directory for tables.md, runs.csv and SVG plots"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	keep := func(flag, name string) bool { return cmd.String(flag) == "" || cmd.String(flag) == name }
	plan := measure.Plan{Seeds: cmd.Int("seeds"), Workers: cmd.Int("workers")}
	plan.Sites = slices.DeleteFunc(measure.Sites(), func(s measure.Site) bool { return !keep("site", s.Name) })
	plan.Policies = slices.DeleteFunc(measure.Policies(), func(p measure.Policy) bool { return !keep("policy", p.Name) })
	plan.Cases = slices.DeleteFunc(append(measure.Loads(), measure.Faults()...), func(c measure.Case) bool {
		return !keep("case", c.Name) || cmd.Float("load") != 0 && cmd.Float("load") != c.Load
	})
	if plan.Seeds < 1 || plan.Workers < 1 || len(plan.Sites)*len(plan.Policies)*len(plan.Cases) == 0 {
		return fmt.Errorf("nothing to measure; use at least one seed and worker, and known names")
	}
	results, err := measure.Sweep(ctx, plan)
	if err != nil {
		return err
	}
	if err := measure.Markdown(os.Stdout, results); err != nil {
		return err
	}
	if dir := cmd.String("out"); dir != "" {
		return write(dir, results)
	}
	return nil
}

// write writes tables.md, runs.csv and the plots into a directory.
func write(dir string, results []measure.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	tables, err := os.Create(filepath.Join(dir, "tables.md"))
	if err != nil {
		return err
	}
	defer tables.Close()
	if err := measure.Markdown(tables, results); err != nil {
		return err
	}
	runs, err := os.Create(filepath.Join(dir, "runs.csv"))
	if err != nil {
		return err
	}
	defer runs.Close()
	if err := measure.CSV(runs, results); err != nil {
		return err
	}
	return measure.Plots(dir, results)
}
