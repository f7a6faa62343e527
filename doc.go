// Package cornelwall holds the domain types and the interfaces of the
// dispatcher. The packages below it implement them: packages under core/ hold the decision
// logic and do no I/O, packages under io/ each speak one protocol.
//
// A caller submits a [Job] of tasks under a [Profile] and gets one [Answer]. The
// [Ticket] of the job names its owner, an [Incarnation] of an entry, which alone starts
// its tasks. Entries exchange [Message] values in an [Envelope]. A task or job ends with an
// [Outcome]; a [Reason] says why it was refused, failed or retried.
//
// # Usage
//
// All decisions of an entry are made by one state machine, a [Core]. Its host passes in an
// [Event] and the time, and carries out the [Command] values that it returns:
//
//	core := node.New(cfg, clock.Now())
//	for ev := range events {
//		for _, cmd := range core.Step(clock.Now(), ev) {
//			host.Do(cmd)
//		}
//	}
//
// There are two cores. That of core/node runs a [Job] on executors and workers, whose capacity
// entries lend to each other ([Placer], [Loan]). That of core/dispatch runs a [BatchJob] on
// leased endpoints: the entry that holds the lease on an [Endpoint] starts the tasks that the
// owner of the batch assigns to it ([Assign]).
//
// External systems are behind interfaces: [Store] and [VMList] are the platform, a
// [BackEnd] starts tasks on one kind of machine, a [Clock] returns the time.
//
// The domain types are also the wire types: they carry JSON tags, which CBOR uses too, and
// a codec calls Check on each value that it decodes. Callers in Go use the package
// cornelwall/client.
package cornelwall
