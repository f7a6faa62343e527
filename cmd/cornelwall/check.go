package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check profile files and settings without a connection",
		ArgsUsage: "[FILE|DIRECTORY...]",
		Description: `Checks profile files in the same way as "profile apply". With --settings it also checks a
file of environment variables for "serve": one CORNELWALL_NAME=value per line, where empty
lines and lines that begin with "#" are ignored. Prints every problem with its file and
line, and exits with code 2 if there is any. It connects to no entry, so that it can run
in CI before a merge.

Examples:
  cornelwall check profiles/
  cornelwall check --settings ikeja-entry-0.env profiles/
  env | grep ^CORNELWALL_ | cornelwall check --settings -

` + exitCodesHelp(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` of environment variables for serve; \"-\" reads stdin"},
			outputFlag(),
		},
		Action: runCheck,
	}
}

func runCheck(ctx context.Context, c *cli.Command) error {
	file := c.String("settings")
	if file == "" && c.Args().Len() == 0 {
		return usageError(errors.New("nothing to check; name profile files or use --settings"))
	}
	var errs []error
	checked := []string{}
	if file != "" {
		errs = append(errs, checkSettings(ctx, file))
		checked = append(checked, "settings "+file)
	}
	if c.Args().Len() > 0 {
		ds, err := readProfiles(c.Args().Slice())
		errs = append(errs, err)
		for _, d := range ds {
			checked = append(checked, fmt.Sprintf("profile %s of %s", d.Name, d.position))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return usageError(err)
	}
	t := &table{head: []string{"CHECKED"}}
	for _, line := range checked {
		t.add(line)
	}
	return printResult(c, struct {
		Checked []string `json:"checked"`
	}{checked}, t)
}

// checkSettings reads a file of environment variables as serve would, and reports every problem
// with it.
func checkSettings(ctx context.Context, file string) error {
	lines, err := readLines(file)
	if err != nil {
		return err
	}
	flags, byEnv := serveFlagsWithoutEnv()
	args := []string{"serve"}
	var errs []error
	for i, line := range lines {
		position := file + ":" + strconv.Itoa(i+1)
		name, value, ok := strings.Cut(strings.TrimSpace(line), "=")
		switch {
		case name == "" && !ok, strings.HasPrefix(name, "#"):
		case !ok:
			errs = append(errs, fmt.Errorf("%s: no \"=\"; write CORNELWALL_NAME=value", position))
		case byEnv[name] == "":
			errs = append(errs, fmt.Errorf("%s: %s is unknown; \"cornelwall serve --help\" lists the variables", position, name))
		default:
			arg := "--" + byEnv[name] + "=" + strings.Trim(value, `"'`)
			if err := checkFlags(ctx, flags, []string{"serve", arg}); err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", position, err))
				continue
			}
			args = append(args, arg)
		}
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	flags, _ = serveFlagsWithoutEnv()
	var problems error
	err = runWithFlags(ctx, flags, args, func(_ context.Context, c *cli.Command) error {
		_, problems = readSettings(c)
		return nil
	})
	if err = errors.Join(err, problems); err != nil {
		return errors.New(file + ": " + strings.ReplaceAll(err.Error(), "\n", "\n"+file+": "))
	}
	return nil
}

// serveFlagsWithoutEnv returns the flags of serve without their environment variables, and a map
// from each variable to the name of its flag.
func serveFlagsWithoutEnv() ([]cli.Flag, map[string]string) {
	byEnv := map[string]string{}
	flags := serveFlags()
	for _, f := range flags {
		for _, name := range f.(cli.DocGenerationFlag).GetEnvVars() {
			byEnv[name] = f.Names()[0]
		}
		switch f := f.(type) {
		case *cli.StringFlag:
			f.Sources = cli.ValueSourceChain{}
		case *cli.StringSliceFlag:
			f.Sources = cli.ValueSourceChain{}
		case *cli.DurationFlag:
			f.Sources = cli.ValueSourceChain{}
		case *cli.IntFlag:
			f.Sources = cli.ValueSourceChain{}
		case *cli.BoolFlag:
			f.Sources = cli.ValueSourceChain{}
		}
	}
	return flags, byEnv
}

// checkFlags returns an error if the arguments do not match the flags.
func checkFlags(ctx context.Context, flags []cli.Flag, args []string) error {
	return runWithFlags(ctx, flags, args, func(context.Context, *cli.Command) error { return nil })
}

// runWithFlags parses arguments for serve and calls action instead of serve.
func runWithFlags(ctx context.Context, flags []cli.Flag, args []string, action cli.ActionFunc) error {
	c := &cli.Command{Name: "serve", Flags: flags, Action: action, HideHelp: true,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }}
	return c.Run(ctx, args)
}

// openInput opens a file for reading, or stdin for "-".
func openInput(file string) (io.ReadCloser, error) {
	if file == "-" {
		return io.NopCloser(os.Stdin), nil
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("%w; name a file that can be read", err)
	}
	return f, nil
}

// readLines returns the lines of a file, or of stdin for "-".
func readLines(file string) ([]string, error) {
	f, err := openInput(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var lines []string
	scan := bufio.NewScanner(f)
	for scan.Scan() {
		lines = append(lines, scan.Text())
	}
	return lines, scan.Err()
}
