// Command review-lab3 plays one case of the third review: it starts entries with the command of the deploy file as
// separate processes on loopback addresses, with stand-ins of the platform's store, of executors and of clients, and
// judges one rule by what these have seen.
//
// # Usage
//
//	review-lab3 CASE FOLDER
//
// It writes FOLDER/record.txt. The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disturbance out.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	maxCaseTime = 100 * time.Second
)

// scenario plays a case and reports whether the rule was broken.
type scenario func(ctx context.Context, l *lab, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"foreign-entry":    foreignEntry,
	"forgotten-cancel": forgottenCancel,
	"late-report":      lateReport,
	"late-request":     lateRequest,
	"lost-cancel":      lostCancel,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	broken, err := play(args)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	case broken:
		fmt.Println("the rule was broken; see record.txt")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

func play(args []string) (broken bool, err error) {
	if len(args) != 2 || scenarios[args[0]] == nil {
		return false, errors.New("usage: review-lab3 CASE FOLDER")
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		return false, err
	}
	l, err := newLab(rec)
	if err != nil {
		return false, errors.Join(err, rec.close())
	}
	broken, err = scenarios[args[0]](ctx, l, os.Getenv("TROUBLE") != "0")
	l.close()
	rec.add("result: broken=%t err=%v", broken, err)
	return broken, errors.Join(err, rec.close())
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
