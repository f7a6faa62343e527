// Package fuzz plays random histories of entries, endpoints and clients under a virtual
// clock, and checks what callers and endpoints see.
//
// # Usage
//
//	go test ./core/dispatch/fuzz -run TestHistories -rapid.checks=3000 -rapid.seed=7
package fuzz
