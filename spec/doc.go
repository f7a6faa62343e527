// Package spec holds Promela models of the core protocol and the test that checks them with
// the model checker spin.
//
// start.pml models the starts and outcomes of a ticket, claim.pml the claim of a caller's key,
// profile.pml the changes of a profile, and again.pml the second run of a task on leased
// endpoints. Each model states its properties as assertions. Each has mutants, selected by a
// macro, that leave out one rule of the protocol. Spin must reject every mutant, which shows
// that the assertions can fail.
//
// # Usage
//
//	go test -v ./spec
//	go test ./spec -write    # writes docs/PROOFS-model.md
package spec
