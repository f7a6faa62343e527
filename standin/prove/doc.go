// Package prove holds the proofs with real processes: each scenario starts a system of
// its own, brings about a failure, and holds every answer that callers got against the
// starts that the endpoints counted.
//
// # Usage
//
//	go test -race ./standin/prove                                # all scenarios, some mutants
//	go test -race ./standin/prove -run 'TestScenarios/freeze' -v # one scenario
//	CORNELWALL_MUTANTS=all go test -race ./standin/prove -run TestMutants
//	CORNELWALL_SEED=7 go test -race ./standin/prove -run TestScenarios/several
//
// A mutant is the product with one rule left out, built with an overlay. Its scenario
// must reject it; so each proof is known to be able to fail. CORNELWALL_LOGS=DIR keeps
// the logs of the processes.
package prove
