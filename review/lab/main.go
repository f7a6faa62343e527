// Command lab starts a small deployment of the dispatcher on loopback addresses, with stand-ins of
// the platform's store, of executors and of clients, and plays one case of the review.
//
// # Usage
//
//	review-lab CASE FOLDER
//
// FOLDER is the folder of the case; record.txt is written there. With TROUBLE=0 in the environment
// the case is played without its disruption. The exit code is 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scenario is one case. It plays itself on a lab and judges the record.
type scenario func(l *lab, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{}

// longestPlay ends a case that hangs, before the 120 seconds that a script may take.
const longestPlay = 105 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab CASE FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	l, err := newLab()
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-lab:", err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longestPlay):
		}
		l.close()
		os.Exit(exitNotRun)
	}()
	broken, err := scenarios[os.Args[1]](l, trouble)
	l.close()
	verdict := "the rule held"
	switch {
	case err != nil:
		verdict = "the case could not run: " + err.Error()
	case broken:
		verdict = "the rule was broken"
	}
	l.note("verdict", verdict)
	if werr := l.write(filepath.Join(os.Args[2], "record.txt")); err == nil {
		err = werr
	}
	fmt.Println(verdict)
	switch {
	case err != nil:
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
