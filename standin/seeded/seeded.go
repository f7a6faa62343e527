// Package seeded makes tests that use rapid the same on every run: it sets the seed unless
// the command line gives another.
//
// # Usage
//
//	import _ "cornelwall/standin/seeded"
//
//	go test ./core/queue -rapid.seed=7 -rapid.checks=10000
package seeded

import (
	"flag"

	"pgregory.net/rapid"
)

var _ = rapid.Check // whose flags exist once its package is initialised

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the flags are those of the version in go.mod
		}
	}
}
