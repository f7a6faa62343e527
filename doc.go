// Package cornelwall holds the domain types and the interfaces of the
// dispatcher. Everything below it implements them: packages under core/ decide,
// packages under io/ speak to one peer or protocol each.
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
// The domain types are also the wire types: they carry JSON and CBOR tags, and a
// codec calls Check on each value that it decodes.
package cornelwall
