package configcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cornelwall"
)

//go:generate go tool enumer -type=ChangeKind -text -transform=kebab -trimprefix=Change -output=changekind_gen.go

// ChangeKind is how an object differs from the configuration in force.
type ChangeKind int

const (
	ChangeAdded ChangeKind = iota
	ChangeRemoved
	ChangeChanged
)

//go:generate go tool enumer -type=Object -text -transform=kebab -trimprefix=Object -output=object_gen.go

// Object is a part of a configuration.
type Object int

const (
	ObjectConfiguration Object = iota
	ObjectQueue
	ObjectService
)

// Change is a difference between two configurations: an object that is added or removed, or one field of it
// that changes.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Object Object     `json:"object"`
	Name   string     `json:"name,omitempty"`
	Field  string     `json:"field,omitempty"`  // as in the file
	Before string     `json:"before,omitempty"` // value, or all fields of a queue that is removed
	After  string     `json:"after,omitempty"`
}

// queueFields are the fields of a queue other than its name, in the order in which changes are listed.
var queueFields = []struct {
	field Field
	value func(q *cornelwall.Queue) string
}{
	{FieldHost, func(q *cornelwall.Queue) string { return strconv.Quote(q.Host) }},
	{FieldPrefix, func(q *cornelwall.Queue) string { return strconv.Quote(q.Prefix) }},
	{FieldService, func(q *cornelwall.Queue) string { return strconv.Quote(q.Service) }},
	{FieldPriority, func(q *cornelwall.Queue) string { return strconv.Itoa(q.Priority) }},
	{FieldAttempts, func(q *cornelwall.Queue) string { return strconv.Itoa(q.Attempts) }},
	{FieldTimeout, func(q *cornelwall.Queue) string { return q.Timeout.String() }},
	{FieldObjective, func(q *cornelwall.Queue) string { return q.Objective.String() }},
	{FieldStretch, func(q *cornelwall.Queue) string { return strconv.FormatFloat(q.Stretch, 'g', -1, 64) }},
}

// Compare returns what differs between the configuration in force and a new one, and the problems with the
// new version. Queues are the same if their names are; of several with one name, the first counts. Fields
// that could not be decoded in either file are left out.
func Compare(inForce, in *Input) ([]Change, []Problem) {
	changes := compareQueues(inForce, in)
	if inForce.isReadable(0, FieldServices) && in.isReadable(0, FieldServices) {
		changes = append(changes, compareServices(inForce.Services, in.Services)...)
	}
	if !inForce.isReadable(0, FieldVersion) || !in.isReadable(0, FieldVersion) {
		return changes, nil
	}
	old, version := inForce.Config.Version, in.Config.Version
	r := report{source: in.Source}
	switch {
	case version < old:
		r.add(SeverityError, 0, FieldVersion, "", fmt.Sprintf("version %d is below the one in force, %d, and entries ignore it", version, old),
			fmt.Sprintf("set %d or more", old+1))
	case version == old && len(changes) > 0:
		r.add(SeverityError, 0, FieldVersion, "", fmt.Sprintf("version %d is in force with other content, and entries ignore this one", version),
			fmt.Sprintf("set %d or more", old+1))
	}
	if version != old {
		changes = slices.Insert(changes, 0, Change{Kind: ChangeChanged, Object: ObjectConfiguration, Field: in.Source.Label(FieldVersion),
			Before: strconv.FormatUint(old, 10), After: strconv.FormatUint(version, 10)})
	}
	return changes, r.problems
}

// isReadable reports whether a field is missing or could be decoded.
func (in *Input) isReadable(index int, f Field) bool {
	return in.Source.State(index, f) != StateUnreadable
}

// compareQueues lists the queues that changed or were added in their new order, then those that were removed.
func compareQueues(inForce, in *Input) []Change {
	if !inForce.isReadable(0, FieldQueues) || !in.isReadable(0, FieldQueues) {
		return nil
	}
	before, after := queuesByName(inForce), queuesByName(in)
	var changes []Change
	for i := range in.Config.Queues {
		q := &in.Config.Queues[i]
		was, existed := before[q.Name]
		switch first, ok := after[q.Name]; {
		case !ok || first != i: // without a name that could be read, or a duplicate
		case !existed:
			changes = append(changes, Change{Kind: ChangeAdded, Object: ObjectQueue, Name: q.Name, After: describeQueue(q, in.Source)})
		default:
			changes = append(changes, queueChanges(inForce, was, in, i)...)
		}
	}
	for i := range inForce.Config.Queues {
		q := &inForce.Config.Queues[i]
		first, ok := before[q.Name]
		if _, remains := after[q.Name]; ok && first == i && !remains {
			changes = append(changes, Change{Kind: ChangeRemoved, Object: ObjectQueue, Name: q.Name, Before: describeQueue(q, in.Source)})
		}
	}
	return changes
}

// queuesByName returns the index of the first queue of each name.
func queuesByName(in *Input) map[string]int {
	m := map[string]int{}
	for i := range in.Config.Queues {
		name := in.Config.Queues[i].Name
		if _, ok := m[name]; !ok && in.isReadable(i, FieldName) {
			m[name] = i
		}
	}
	return m
}

// queueChanges returns a change for each field that differs between the queues of two indexes.
func queueChanges(inForce *Input, was int, in *Input, is int) []Change {
	before, after := &inForce.Config.Queues[was], &in.Config.Queues[is]
	var changes []Change
	for _, f := range queueFields {
		old, value := f.value(before), f.value(after)
		if old != value && inForce.isReadable(was, f.field) && in.isReadable(is, f.field) {
			changes = append(changes, Change{Kind: ChangeChanged, Object: ObjectQueue, Name: after.Name, Field: in.Source.Label(f.field), Before: old, After: value})
		}
	}
	return changes
}

// describeQueue returns all fields of a queue but its name.
func describeQueue(q *cornelwall.Queue, s Source) string {
	var parts []string
	for _, f := range queueFields {
		parts = append(parts, s.Label(f.field)+" "+f.value(q))
	}
	return strings.Join(parts, ", ")
}

// compareServices lists the services that were added, then those that were removed.
func compareServices(before, after []string) []Change {
	var changes []Change
	for i, name := range after {
		if !slices.Contains(before, name) && !slices.Contains(after[:i], name) {
			changes = append(changes, Change{Kind: ChangeAdded, Object: ObjectService, Name: name})
		}
	}
	for i, name := range before {
		if !slices.Contains(after, name) && !slices.Contains(before[:i], name) {
			changes = append(changes, Change{Kind: ChangeRemoved, Object: ObjectService, Name: name})
		}
	}
	return changes
}
