package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode"

	"github.com/urfave/cli/v3"

	"cornelwall/core/configcheck"
	"cornelwall/core/dispatch"
	"cornelwall/platform"
)

const (
	maxCheckedFile = 16 << 20              // bytes that are read of a file; the decoders report what is too large for an entry
	maxPath        = maxHeaderBytes + 4096 // bytes; net/http accepts 4096 bytes beyond the limit that is set
)

// dispatchFiles are the files of dispatch to check.
type dispatchFiles struct {
	queues   string
	against  string
	settings string
}

func dispatchFilesOf(c *cli.Command) dispatchFiles {
	return dispatchFiles{queues: c.String("queues"), against: c.String("against"), settings: c.String("dispatch-settings")}
}

func (f *dispatchFiles) isEmpty() bool { return *f == dispatchFiles{} }

// check reports a wrong use of the flags. Other is the file of --settings.
func (f *dispatchFiles) check(other string) error {
	if f.against != "" && f.queues == "" {
		return errors.New("--against goes with --queues; name the new configuration with --queues")
	}
	stdin := 0
	for _, name := range []string{f.queues, f.against, f.settings, other} {
		if name == "-" {
			stdin++
		}
	}
	if stdin > 1 {
		return errors.New("stdin can be read once; name a file for all flags but one")
	}
	return nil
}

// fileProblem is a problem with a file.
type fileProblem struct {
	File string `json:"file"`
	configcheck.Problem
}

// checkReport is the result of a check of files of dispatch.
type checkReport struct {
	Checked  []string             `json:"checked"`
	Problems []fileProblem        `json:"problems"`
	Changes  []configcheck.Change `json:"changes,omitempty"`

	compared bool // Changes has been determined
}

func (r *checkReport) add(file string, problems []configcheck.Problem) {
	for _, p := range problems {
		r.Problems = append(r.Problems, fileProblem{File: file, Problem: p})
	}
}

// checkDispatchFiles checks the files of dispatch, and prints all problems and changes. Checked is what was
// checked before, and err has the problems with it.
func checkDispatchFiles(c *cli.Command, files *dispatchFiles, checked []string, err error) error {
	if useErr := files.check(c.String("settings")); useErr != nil {
		return usageError(useErr)
	}
	r := &checkReport{Checked: checked, Problems: []fileProblem{}}
	var errs []error
	if files.queues != "" {
		errs = append(errs, r.checkQueues(files.queues, files.against))
	}
	if files.settings != "" {
		errs = append(errs, r.checkDispatchSettings(files.settings))
	}
	if n := r.errorCount(); n > 0 {
		errs = append(errs, fmt.Errorf("errors: %d, warnings: %d; correct the errors before the files are used", n, len(r.Problems)-n))
	}
	if perr := r.print(c); perr != nil {
		return perr
	}
	if err = errors.Join(append([]error{err}, errs...)...); err != nil {
		return usageError(err)
	}
	return nil
}

// errorCount returns the number of problems that are errors.
func (r *checkReport) errorCount() int {
	n := 0
	for _, p := range r.Problems {
		if p.Severity == configcheck.SeverityError {
			n++
		}
	}
	return n
}

// checkQueues checks a queue configuration, and compares it with the one in force if a file of that is named.
func (r *checkReport) checkQueues(file, against string) error {
	f, in, err := readQueues(file)
	if err != nil {
		return err
	}
	r.Checked = append(r.Checked, "queues "+file)
	r.add(file, f.Problems())
	if in.Config != nil {
		r.add(file, configcheck.CheckQueues(in))
	}
	if against == "" {
		return nil
	}
	old, inForce, err := readQueues(against)
	if err != nil {
		return err
	}
	r.Checked = append(r.Checked, "against "+against)
	if configcheck.HasErrors(old.Problems()) {
		r.add(against, old.Problems())
	}
	if in.Config == nil || inForce.Config == nil {
		return nil
	}
	changes, problems := configcheck.Compare(inForce, in)
	r.Changes, r.compared = changes, true
	r.add(file, problems)
	return nil
}

// readQueues reads a queue configuration.
func readQueues(file string) (*platform.ConfigFile, *configcheck.Input, error) {
	text, err := readInput(file)
	if err != nil {
		return nil, nil, err
	}
	f := platform.DecodeConfigFile(text)
	return f, &configcheck.Input{Config: f.Config, Services: f.Services, MaxPath: maxPath, Source: f}, nil
}

// checkDispatchSettings checks a settings file of dispatch.
func (r *checkReport) checkDispatchSettings(file string) error {
	text, err := readInput(file)
	if err != nil {
		return err
	}
	r.Checked = append(r.Checked, "settings of dispatch "+file)
	f := platform.DecodeSettingsFile(string(text))
	r.add(file, f.Problems())
	if f.Settings == nil {
		return nil
	}
	s := f.Settings
	r.add(file, configcheck.CheckSettings(&configcheck.Settings{
		CallerAddr: s.CallerAddr, ReadinessAddr: s.ReadinessAddr, PeerAddr: s.PeerAddr, StoreAddr: s.StoreAddr, Seeds: s.Seeds,
		MaxLease: s.MaxLease, StopDelay: s.StopDelay, StopGrace: s.StopGrace, DrainTime: s.DrainTime,
	}, configcheck.Requirements{LeaseTTL: dispatch.LeaseTTL, StopGrace: dispatchLinger + shutdownTime}, f))
	return nil
}

// readInput returns the text of a file, or of stdin for "-".
func readInput(file string) ([]byte, error) {
	f, err := openInput(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, maxCheckedFile+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%s: %w; name a file that can be read", file, err)
	case len(text) > maxCheckedFile:
		return nil, fmt.Errorf("%s: the file has more than %d bytes; name a configuration or settings", file, maxCheckedFile)
	}
	return text, nil
}

// print prints what was checked, the problems if there are any, and the changes if there was something to
// compare.
func (r *checkReport) print(c *cli.Command) error {
	checked := &table{head: []string{"CHECKED"}}
	for _, line := range r.Checked {
		checked.add(line)
	}
	var tables []*table
	if len(r.Checked) > 0 {
		tables = append(tables, checked)
	}
	if len(r.Problems) > 0 {
		tables = append(tables, problemTable(r.Problems))
	}
	if r.compared {
		tables = append(tables, changeTable(r.Changes))
	}
	return printTables(c, r, tables...)
}

// problemTable returns the table of the problems with all files.
func problemTable(problems []fileProblem) *table {
	t := &table{head: []string{"SEVERITY", "FILE", "PLACE", "QUEUE", "PROBLEM", "REMEDY"}}
	for _, p := range problems {
		file := p.File
		if p.Place.Line > 0 {
			file += ":" + strconv.Itoa(p.Place.Line)
		}
		t.add(p.Severity.String(), file, formatCell(p.Place.Path), formatCell(p.Queue), formatCell(p.Text), formatCell(p.Remedy))
	}
	return t
}

// changeTable returns the table of the changes, with a line of its own if there are none.
func changeTable(changes []configcheck.Change) *table {
	t := &table{head: []string{"CHANGE", "OBJECT", "NAME", "FIELD", "BEFORE", "AFTER"}}
	for _, ch := range changes {
		t.add(ch.Kind.String(), ch.Object.String(), formatCell(ch.Name), formatCell(ch.Field), formatCell(ch.Before), formatCell(ch.After))
	}
	if len(changes) == 0 {
		t.add("none", "-", "-", "-", "-", "-")
	}
	return t
}

// formatCell returns a text with what cannot be printed escaped, and "-" for an empty one.
func formatCell(s string) string {
	if s == "" {
		return "-"
	}
	if strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(s)
	}
	return s
}
