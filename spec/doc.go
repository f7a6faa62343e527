// Package spec holds the models of the core protocol, in Promela, and the test that has
// spin check them.
//
// start.pml is the starts and outcomes of a ticket, claim.pml the claim of a caller's key,
// profile.pml the changes of a profile, again.pml the second runs of a task on endpoints that
// are leased. Each model holds its properties as assertions. Each
// has mutants, compiled in by a macro, which leave a rule out; spin must reject them, so that
// the properties are known to be able to fail.
//
// # Usage
//
//	go test -v ./spec
//	go test ./spec -write    # writes docs/PROOFS-model.md
package spec
