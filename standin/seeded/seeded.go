// Package seeded makes tests that use rapid reproducible: importing it sets a fixed seed, which
// the command line can override.
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

var _ = rapid.Check // the import makes sure that rapid has registered its flags

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the version of rapid in go.mod has these flags
		}
	}
}
