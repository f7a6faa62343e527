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

For "dispatch", --queues checks a queue configuration, the JSON that is written to the
key op/config of the platform's store, and --dispatch-settings the settings file of an
entry. All errors and warnings are printed with their places and remedies. Errors
are what entries reject, what leaves a queue without batches, and limits that contradict
each other; they exit with code 2. Warnings alone exit with code 0. With --against, what
differs from the configuration in force is printed, and it is an error if the version
does not rise with it.

Examples:
  cornelwall check profiles/
  cornelwall check --settings ikeja-entry-0.env profiles/
  env | grep ^CORNELWALL_ | cornelwall check --settings -
  cornelwall check --queues queues.json
  cornelwall check --queues queues.json --against in-force.json --output json
  cornelwall check --dispatch-settings local.toml

` + exitCodesHelp(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` of environment variables for serve; \"-\" reads stdin"},
			&cli.StringFlag{Name: "queues", Usage: "`FILE` of a queue configuration for dispatch; \"-\" reads stdin"},
			&cli.StringFlag{Name: "against", Usage: "with --queues: `FILE` of the queue configuration in force, to compare with; \"-\" reads stdin"},
			&cli.StringFlag{Name: "dispatch-settings", Usage: "settings `FILE` of dispatch; \"-\" reads stdin"},
			outputFlag(),
		},
		Action: runCheck,
	}
}

func runCheck(ctx context.Context, c *cli.Command) error {
	file := c.String("settings")
	files := dispatchFilesOf(c)
	if file == "" && c.Args().Len() == 0 && files.isEmpty() {
		return usageError(errors.New("nothing to check; name profile files, or use --settings, --queues or --dispatch-settings"))
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
	err := errors.Join(errs...)
	if !files.isEmpty() {
		return checkDispatchFiles(c, &files, checked, err)
	}
	if err != nil {
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
