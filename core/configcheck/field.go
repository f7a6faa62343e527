package configcheck

//go:generate go tool enumer -type=Field -transform=kebab -trimprefix=Field -output=field_gen.go

// Field is a field of a configuration or of settings.
type Field int

const (
	// Fields of a queue configuration.
	FieldVersion  Field = iota
	FieldQueues         // the list of queues
	FieldServices       // the list of services
	// Fields of one queue.
	FieldName
	FieldHost
	FieldPrefix
	FieldService
	FieldPriority
	FieldAttempts
	FieldTimeout
	FieldObjective
	FieldStretch
	// FieldServiceName is the name of one service.
	FieldServiceName
	// Fields of the settings of an entry.
	FieldCallerAddr
	FieldReadinessAddr
	FieldPeerAddr
	FieldStoreAddr
	FieldSeeds
	FieldMaxLease
	FieldStopDelay
	FieldStopGrace
	FieldDrainTime
	FieldMemory
	FieldProcessor // share of a processor
)

//go:generate go tool enumer -type=State -transform=kebab -trimprefix=State -output=state_gen.go

// State is whether a file has a field, and whether its value could be decoded.
type State int

const (
	StateMissing    State = iota
	StateSet              // with a value of the right type
	StateUnreadable       // with a value that could not be decoded, which has been reported
)

// Source gives the places, states and names of the fields of a decoded file. Index is that of the queue or service
// that the field belongs to, and 0 for any other field.
type Source interface {
	Place(index int, f Field) Place
	State(index int, f Field) State
	Label(f Field) string // name of the field in the file, such as "prefix"
}

// report collects problems with one source.
type report struct {
	source   Source
	problems []Problem
}

// add adds a problem with a field. A value that could not be decoded has been reported, and is not
// reported again.
func (r *report) add(s Severity, index int, f Field, queue, text, remedy string) {
	if r.source.State(index, f) == StateUnreadable {
		return
	}
	r.problems = append(r.problems, Problem{Severity: s, Place: r.source.Place(index, f), Queue: queue, Text: text, Remedy: remedy})
}
