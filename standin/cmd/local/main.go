// Command local starts a small cornelwall system on loopback, submits a job to it and
// prints the answer.
//
// # Usage
//
//	go run ./standin/cmd/local          # exits after the job
//	go run ./standin/cmd/local --stay   # keeps the system running until Ctrl-C, for manual tests
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
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
	cmd := &cli.Command{
		Name:   "local",
		Usage:  "start a small local system and run a job on it",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "stay", Usage: "keep the system running until interrupted"}},
		Action: run,
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "local:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	dir, err := os.MkdirTemp("", "cornelwall-local-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fmt.Println("starting two data centres with two entries, three executors and a worker each")
	sys, err := local.Start(sctx, local.Config{
		Dir: dir, DataCentres: []string{"ikeja", "lekki"}, Entries: 2, Executors: 3, Workers: 1,
	})
	if err != nil {
		return err
	}
	err = runJob(sctx, sys)
	if err == nil && c.Bool("stay") {
		printAddresses(sys)
		<-ctx.Done()
	}
	return errors.Join(err, sys.Stop())
}

// runJob applies a profile, submits a job and prints the answer.
func runJob(ctx context.Context, sys *local.System) error {
	profile := cornelwall.Profile{Name: "seat-holds", Team: "bookings", Class: cornelwall.Urgent}
	if err := sys.Apply(ctx, profile); err != nil {
		return err
	}
	fmt.Printf("profile %s is in force at %d entries\n", profile.Name, len(sys.Entries))
	job := cornelwall.Job{Profile: profile.Name}
	for i := range 12 {
		body := fmt.Sprintf(`{"sleep":"50ms","echo":"seat %d held"}`, i)
		job.Tasks = append(job.Tasks, cornelwall.Task{Body: []byte(body)})
	}
	start := time.Now()
	a, err := local.Submit(ctx, sys.Entries[0], job)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return err
	}
	fmt.Printf("%s\n", text)
	for _, t := range a.Tasks {
		fmt.Printf("%s: %s\n", t.Outcome, t.Body)
	}
	fmt.Printf("%d tasks of 50 ms answered %s in %s\n", len(a.Tasks), a.Outcome, time.Since(start).Round(time.Millisecond))
	if a.Outcome != cornelwall.Done {
		return fmt.Errorf("job is %s: %s", a.Outcome, a.Reason)
	}
	return nil
}

// printAddresses prints the addresses of the entries and the environment variables for the command
// line client.
func printAddresses(sys *local.System) {
	for _, e := range sys.Entries {
		fmt.Printf("%s callers=%s operators=%s\n", e.Name, e.URL("callers"), e.URL("operators"))
	}
	fmt.Printf("to try the command line and the examples of the docs by hand:\n")
	fmt.Printf("export CORNELWALL_CALLER_ENTRIES=%s\n", joinURLs(sys.Entries, "callers"))
	fmt.Printf("export CORNELWALL_OPERATOR_ENTRIES=%s\n", joinURLs(sys.Entries, "operators"))
	fmt.Printf("export CORNELWALL_TOKEN=%s\n", local.Token)
	fmt.Printf("export CALLERS=%s OPERATORS=%s\nCtrl-C ends\n", sys.Entries[0].URL("callers"), sys.Entries[0].URL("operators"))
}

// joinURLs joins the URLs of the named listener of all entries with commas.
func joinURLs(entries []*local.Process, listener string) string {
	var us []string
	for _, e := range entries {
		us = append(us, e.URL(listener))
	}
	return strings.Join(us, ",")
}
