// Package cornelwall holds the domain types and the interfaces of the
// dispatcher. Everything below it implements them: packages under core/ decide,
// packages under io/ speak to one peer or protocol each.
//
// A caller submits a [Job] of tasks under a [Profile] and gets one [Answer]. The
// [Ticket] of the job names its owner, an [Incarnation] of an entry, which alone starts
// its tasks. Entries send each other an [Envelope] of [Message] values. What comes of a
// task or job is an [Outcome]; why it was refused, failed or tried again is a [Reason].
//
// # Usage
//
// The decisions are one state machine, [Core]. Its host hands it an [Event] and
// the time, and carries out the [Command] values that come back:
//
//	core := node.New(cfg, clock.Now())
//	for ev := range events {
//		for _, cmd := range core.Step(clock.Now(), ev) {
//			host.Do(cmd)
//		}
//	}
//
// What varies is behind interfaces: [Store] and [VMList] are the platform, a [BackEnd]
// starts tasks on one kind of endpoint, a [Clock] tells the time.
//
// The domain types are also the wire types: they carry JSON and CBOR tags, and a
// codec calls Check on each value that it decodes. Callers in Go use the package
// cornelwall/client.
package cornelwall
