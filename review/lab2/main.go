package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays a case. It returns what broke the rule, or nothing if the rule held.
type caseFunc func(s *system, trouble bool) (broken []string, err error)

// reviewCase is a case and the deployment that it is played on.
type reviewCase struct {
	play caseFunc
	at   site
}

var cases = map[string]reviewCase{
	"cancel-early":    {cancelEarly, smallSite},
	"cancel-unheard":  {cancelUnheard, spareSite},
	"cancel-unlisted": {cancelUnlisted, grownSite},
}

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file to write what happened to")
	program := flag.String("program", "target/cornelwall", "path of the built program")
	trouble := flag.Bool("trouble", true, "disrupt the deployment; false plays the same without")
	logs := flag.String("logs", "", "folder for the logs of the entries; empty is none")
	flag.Parse()
	os.Exit(run(*name, *recordPath, *program, *logs, *trouble))
}

func run(name, recordPath, program, logs string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "case %q does not exist\n", name)
		return exitNotRun
	}
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec := newRecord()
	defer func() {
		if err := rec.writeTo(recordPath); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	rec.add("case %s, disruption %t", name, trouble)
	s, err := newSystem(c.at, rec, program, logs)
	if err != nil {
		rec.add("not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	broken, err := c.play(s, trouble)
	if err != nil {
		rec.add("not run: %v", err)
		return exitNotRun
	}
	for _, b := range broken {
		rec.add("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}

// waitUntil calls f until it reports true, for at most d.
func waitUntil(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
