// Package configcheck checks a queue configuration, and the settings of an entry, before they are
// sent, and compares a configuration with the one in force. It consists of functions without side
// effects. Whoever decodes a file implements Source, so that problems name the fields of that file.
//
// # Usage
//
//	in := configcheck.Input{Config: cfg, Services: services, Source: file}
//	for _, p := range configcheck.CheckQueues(&in) { ... }
//	changes, problems := configcheck.Compare(&inForce, &in)
//
// # Files
//
// Problems and their places: problem.go, field.go. Queues that entries would reject, that get no batch, or
// whose limits contradict each other: queues.go, with hosts and prefixes in address.go. What differs from
// the version in force: changes.go. Settings of an entry: settings.go.
package configcheck
