package main

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of the program",
		Description: `Prints the version, the revision that it was built from, and the version of Go.

Examples:
  cornelwall version
  cornelwall version --output json`,
		Flags:  []cli.Flag{outputFlag()},
		Action: printVersion,
	}
}

// buildInfo identifies the program.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Modified bool   `json:"modified"` // built with uncommitted changes
	Go       string `json:"go"`
}

func printVersion(_ context.Context, c *cli.Command) error {
	b := readBuildInfo()
	revision := b.Revision
	if b.Modified {
		revision += " with changes"
	}
	return printResult(c, b, &table{head: []string{"VERSION", "REVISION", "GO"}, rows: [][]string{{b.Version, revision, b.Go}}})
}

func readBuildInfo() buildInfo {
	b := buildInfo{Version: "unknown", Revision: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version = info.Main.Version
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}
