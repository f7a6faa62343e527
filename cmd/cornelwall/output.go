package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"unicode"
	"unicode/utf8"

	"github.com/urfave/cli/v3"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "print a `FORMAT`: table or json", Value: outputTable,
		Sources: env("OUTPUT"), Validator: func(s string) error {
			if s != outputTable && s != outputJSON {
				return fmt.Errorf("%q is not an output format; use table or json", s)
			}
			return nil
		}}
}

// stdout returns the writer for results. Progress and errors are written to stderr.
func stdout(c *cli.Command) io.Writer {
	if w := c.Root().Writer; w != nil {
		return w
	}
	return os.Stdout
}

// stderr returns the writer for progress.
func stderr(c *cli.Command) io.Writer {
	if w := c.Root().ErrWriter; w != nil {
		return w
	}
	return os.Stderr
}

// table is a header and rows of text.
type table struct {
	head []string
	rows [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// printResult prints v as JSON or t as a table, depending on --output.
func printResult(c *cli.Command, v any, t *table) error {
	return printTables(c, v, t)
}

// printTables prints v as JSON, or as tables, with an empty line between them.
func printTables(c *cli.Command, v any, tables ...*table) error {
	if c.String("output") == outputJSON {
		enc := json.NewEncoder(stdout(c))
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	for i, t := range tables {
		if i > 0 {
			_, _ = fmt.Fprintln(stdout(c))
		}
		if err := printTable(stdout(c), t); err != nil {
			return err
		}
	}
	return nil
}

func printTable(out io.Writer, t *table) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.head}, t.rows...) {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// formatBody returns a body unchanged if it is printable text, and otherwise in base64.
func formatBody(body []byte) string {
	if !utf8.Valid(body) || strings.ContainsFunc(string(body), func(r rune) bool { return !unicode.IsPrint(r) }) {
		return "base64:" + base64.StdEncoding.EncodeToString(body)
	}
	return string(body)
}
