package cornelwall

// CommandHandler carries out commands of the core. Handle does not block; the result of a
// command is posted as an event.
type CommandHandler interface {
	Handle(cmd Command)
}

// EventSink queues events for the core.
type EventSink interface {
	Post(ev Event)
}

// Names under which services are registered with the kernel and find each other.
const (
	ServiceControl   = "control"   // event loop that owns the core
	ServicePeers     = "peers"     // sends messages to other entries
	ServiceEndpoints = "endpoints" // starts tasks on machines or leased endpoints
	ServicePlatform  = "platform"  // client of the platform
)
