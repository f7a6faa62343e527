package cornelwall

// CommandHandler carries out commands for the core. Act does not block; what comes of a command
// is reported as an event.
type CommandHandler interface {
	Handle(cmd Command)
}

// EventSink takes events for the core.
type EventSink interface {
	Post(ev Event)
}

// Names of the services that find each other through the kernel.
const (
	ServiceControl   = "control"   // the loop that owns the core
	ServicePeers     = "peers"     // sends to other entries
	ServiceEndpoints = "endpoints" // starts tasks
	ServicePlatform  = "platform"  // speaks to the platform
)
