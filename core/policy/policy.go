// Package policy makes the decisions of an entry that dispatches batches to leased endpoints: in
// which order tasks start, which holder and endpoint gets them, when a batch is refused or given up,
// and what is concluded about an endpoint. It consists of functions and small types without side
// effects; package dispatch keeps the state, asks here and acts.
//
// # Usage
//
//	if best := policy.PickHolder(options, &task); best != nil { ... }
//	value := waiting.Value(now)
//
// # Files
//
// Order of the backlog, for more work than the endpoints can do: order.go. Choice of a holder,
// for load that differs between entries: holder.go. Choice of an endpoint, for endpoints that are
// partly used, slow or suspected: endpoint.go. Tasks that crash endpoints, told from their neighbours:
// crash.go. Demand and capacity of the fleet, for many owners that send to the same holders: load.go.
// Admission by the queued work, and shares of classes: shed.go. Endpoints kept free for large runs:
// reserve.go. Cores that would stay unused: packing.go. When refused callers come back, so that they do
// not come all at once: retryafter.go. End of batches that cannot be done in time, for bursts and lost
// endpoints: verdict.go.
//
// What these rely on: health.go judges an endpoint by how its runs end, slowdown.go by how long they
// take, speed.go by the same where long tasks are told from slow endpoints, progress.go by what it
// reports of those that still run. estimate.go corrects declared run
// times, and replytime.go tells when a reply is no longer expected.
package policy
