package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"os"
	"time"

	"github.com/urfave/cli/v3"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "run an entry",
		Description: serveHelp + exitCodesHelp(),
		Flags:       serveFlags(),
		Action:      serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	s, err := readSettings(c)
	if err != nil {
		return usageError(err)
	}
	e, err := buildEntry(s, newLog(os.Stderr, s.Verbose))
	if err != nil {
		return err
	}
	return e.run(ctx)
}

const epochRandomBits = 22

// newEpoch returns a unique epoch for an incarnation. Its high bits are the current time, so that
// of two incarnations of an entry that both answer, the later one has the larger epoch.
func newEpoch(now time.Time) uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	random := binary.BigEndian.Uint64(b[:]) >> (64 - epochRandomBits)
	return uint64(now.UnixMilli())<<epochRandomBits | random
}

// newChangeID returns a unique ID for a change of a profile.
func newChangeID() string { return rand.Text() }
