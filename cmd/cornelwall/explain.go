package main

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cornelwall/core/explain"
)

// explainTime is the format of times of day in the output of explain.
const explainTime = "15:04:05.000"

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from logs why batches were late or not served",
		ArgsUsage: "[JOB] FILE...",
		Description: `Reads the logs that "cornelwall dispatch" has written, of any number of entries. For one
batch it prints all lines about it in the order of time, over all entries, and last why it
was late or not served. With --losses it counts the batches that were late or not served,
by queue and cause; --csv counts them by second of their arrival as well.

Whatever comes before the time of a line is skipped. Lines that cannot be read are
counted, and the first one is named. "-" reads stdin.

Examples:
  cornelwall explain 42da3d53c3b5dc22 ikeja-1.log ikeja-2.log lekki-1.log
  cornelwall explain --losses *.log
  cornelwall explain --losses --csv *.log > losses.csv

` + exitCodesHelp(),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "losses", Usage: "count the batches that were late or not served, by cause"},
			&cli.BoolFlag{Name: "csv", Usage: "with --losses: print comma-separated values, a row for each second"},
			outputFlag(),
		},
		Action: runExplain,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	args := c.Args().Slice()
	if c.Bool("losses") {
		return explainLosses(c, args)
	}
	switch {
	case c.Bool("csv"):
		return usageError(errors.New("--csv goes with --losses"))
	case len(args) < 2:
		return usageError(errors.New("name a batch and the log files of all entries, or use --losses"))
	}
	return explainBatch(c, args[0], args[1:])
}

// readLogs reads log files. Lines that cannot be read are reported to stderr.
func readLogs(c *cli.Command, files []string) (*explain.Log, error) {
	if len(files) == 0 {
		return nil, usageError(errors.New("name at least one log file"))
	}
	l := &explain.Log{}
	for _, name := range files {
		if err := readLog(l, name); err != nil {
			return nil, usageError(err)
		}
	}
	if l.Unreadable > 0 {
		_, _ = fmt.Fprintf(stderr(c), "%d lines cannot be read; the first is %s\n", l.Unreadable, l.FirstProblem)
	}
	return l, nil
}

func readLog(l *explain.Log, name string) error {
	f, err := openInput(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if name == "-" {
		name = "stdin" // as it is named in problems
	}
	return l.Read(name, f)
}

// explainBatch prints the lines about a batch and why it was lost.
func explainBatch(c *cli.Command, id string, files []string) error {
	l, err := readLogs(c, files)
	if err != nil {
		return err
	}
	lines := l.LinesOf(id)
	if len(lines) == 0 {
		return usageError(fmt.Errorf("no line is about batch %q; pass the logs of all entries of that time", id))
	}
	t := &table{head: []string{"TIME", "ENTRY", "EVENT", "FIELDS"}}
	for _, line := range lines {
		t.add(line.At.Format(explainTime), line.Entry, line.Event, formatFields(line.Fields))
	}
	causes := []explainedBatch{}
	for _, b := range explain.BatchesOf(lines) {
		cause := b.Cause()
		causes = append(causes, explainedBatch{b.Owner, b.ArrivedAt, cause})
		t.add(b.ArrivedAt.Format(explainTime), b.Owner, "cause", cause.String())
	}
	return printResult(c, struct {
		Lines   []explain.Line   `json:"lines"`
		Batches []explainedBatch `json:"batches"`
	}{lines, causes}, t)
}

// explainedBatch is one submission of a batch and why it was lost.
type explainedBatch struct {
	Entry     string        `json:"entry"`
	ArrivedAt time.Time     `json:"arrived"`
	Cause     explain.Cause `json:"cause"`
}

func formatFields(fields []explain.Field) string {
	var pairs []string
	for _, f := range fields {
		pairs = append(pairs, f.Key+"="+f.Value)
	}
	return strings.Join(pairs, " ")
}

// explainLosses prints the numbers of batches that were lost.
func explainLosses(c *cli.Command, files []string) error {
	l, err := readLogs(c, files)
	if err != nil {
		return err
	}
	batches := l.Batches()
	losses := explain.Losses(batches)
	if c.Bool("csv") {
		return writeLossesCSV(c, losses)
	}
	t := &table{head: []string{"QUEUE", "CAUSE", "LATE", "UNSERVED"}}
	late, unserved := 0, 0
	for _, loss := range explain.Total(losses) {
		t.add(loss.Queue, loss.Cause.String(), strconv.Itoa(loss.Late), strconv.Itoa(loss.Unserved))
		late += loss.Late
		unserved += loss.Unserved
	}
	t.add("all", fmt.Sprintf("of %d batches", len(batches)), strconv.Itoa(late), strconv.Itoa(unserved))
	return printResult(c, losses, t)
}

func writeLossesCSV(c *cli.Command, losses []explain.Loss) error {
	w := csv.NewWriter(stdout(c))
	rows := [][]string{{"second", "queue", "cause", "late", "unserved"}}
	for _, l := range losses {
		rows = append(rows, []string{l.Second.Format(time.RFC3339), l.Queue, l.Cause.String(), strconv.Itoa(l.Late), strconv.Itoa(l.Unserved)})
	}
	return w.WriteAll(rows)
}
