// Command lab2 runs the cases of the second review. Each case starts entries with the command of the
// deploy file as separate processes on loopback addresses, beside stand-ins for the platform's store,
// the executors and the clients, and checks one rule of the users' pages.
//
// # Usage
//
//	lab2 -case cancel-unheard -record record.txt
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// -trouble=false the disruption is left out; the run.sh of a case passes it for TROUBLE=0.
//
// system.go starts and stops the parts, store.go is the store, executor.go the executors, entry.go the
// entries, client.go the clients and the balancer; the files case_*.go hold the cases.
package main
