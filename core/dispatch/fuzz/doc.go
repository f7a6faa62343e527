// Package fuzz runs random histories of entries, endpoints and clients under a virtual clock, and
// checks the answers to callers and the runs at the endpoints.
//
// # Usage
//
//	go test ./core/dispatch/fuzz -run TestHistories -rapid.checks=3000 -rapid.seed=7
package fuzz
