// Package prove contains fault-injection tests with real processes. Each scenario starts a system of
// its own, injects a failure, and compares every answer that callers received with the task starts
// that the executors and workers counted.
//
// # Usage
//
//	go test -race ./standin/prove                                # all scenarios, some mutants
//	go test -race ./standin/prove -run 'TestScenarios/freeze' -v # one scenario
//	CORNELWALL_MUTANTS=all go test -race ./standin/prove -run TestMutants
//	CORNELWALL_SEED=7 go test -race ./standin/prove -run TestScenarios/several
//
// A mutant is a build of the product with one deliberate fault, made with go build -overlay. Its
// scenario must fail, which shows that the scenario can detect the fault.
//
// CORNELWALL_LOGS=DIR keeps the log files of the processes. Without it, those of a test that fails are
// kept in a temporary directory that its output names, with the goroutines of the entries at the end.
package prove
