package cornelwall

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

//go:generate go tool enumer -type=Class,Stale -transform=lower -output=profile_gen.go

// Class is the priority of a profile under overload: tasks of a higher class go first.
type Class int

const (
	// Batch work goes last.
	Batch Class = iota
	// Normal work is the default for profiles written by operators; see NewProfile.
	Normal
	// Urgent work goes first.
	Urgent
)

// MarshalText returns the name of the class.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText parses the name of a class.
func (c *Class) UnmarshalText(text []byte) error {
	v, err := ClassString(string(text))
	if err != nil {
		return fmt.Errorf("class %q is unknown; use %s", text, strings.Join(ClassStrings(), ", "))
	}
	*c = v
	return nil
}

// Stale is what an entry does when its profiles may be outdated, because it has not heard
// from the platform, directly or through other entries, for too long.
type Stale int

const (
	// Serve continues with the last known version.
	Serve Stale = iota
	// Refuse answers NotRun until the profiles are fresh again.
	Refuse
)

// MarshalText returns the name of the behaviour.
func (s Stale) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a behaviour.
func (s *Stale) UnmarshalText(text []byte) error {
	v, err := StaleString(string(text))
	if err != nil {
		return fmt.Errorf("stale %q is unknown; use %s", text, strings.Join(StaleStrings(), " or "))
	}
	*s = v
	return nil
}

const (
	maxDeadline    = time.Hour
	maxQueue       = 1 << 20
	maxConcurrency = 1 << 20
	maxQuota       = 1000
	maxChangeLen   = 64 // characters of the ID of a change
)

// Profile configures how the jobs submitted under its name are queued and prioritised.
// Operators create, change and retire profiles; Version increases with each change.
type Profile struct {
	Name        string   `json:"name" yaml:"name"`
	Team        string   `json:"team" yaml:"team"`
	Class       Class    `json:"class" yaml:"class"`
	Deadline    Duration `json:"deadline" yaml:"deadline"`       // of a job that sets none
	Queue       int      `json:"queue" yaml:"queue"`             // maximum number of waiting tasks per entry
	Concurrency int      `json:"concurrency" yaml:"concurrency"` // maximum number of running tasks per entry; 0 is no limit
	Quota       int      `json:"quota" yaml:"quota"`             // weight of the team in fair sharing
	Idempotent  bool     `json:"idempotent" yaml:"idempotent"`   // the caller may submit again under a new ticket
	Stale       Stale    `json:"stale" yaml:"stale"`

	Version uint64 `json:"version" yaml:"-"`
	Retired bool   `json:"retired,omitempty" yaml:"-"` // a tombstone
	Change  string `json:"change,omitempty" yaml:"-"`  // ID of the change that wrote this version
}

// NewProfile returns a profile with the defaults of all fields but the name and the team.
// Profiles written by operators are decoded into it.
func NewProfile() Profile {
	p := Profile{Class: Normal}
	p.Normalise()
	return p
}

// Normalise sets numbers that are 0 to their defaults.
func (p *Profile) Normalise() {
	if p.Deadline == 0 {
		p.Deadline = Duration(10 * time.Second)
	}
	if p.Queue == 0 {
		p.Queue = 10000
	}
	if p.Quota == 0 {
		p.Quota = 1
	}
}

// Check reports every problem with the profile.
func (p *Profile) Check() error {
	errs := []error{CheckName("name", p.Name), CheckName("team", p.Team)}
	if !p.Class.IsAClass() {
		errs = append(errs, fmt.Errorf("class %d is unknown; use batch, normal or urgent", p.Class))
	}
	if !p.Stale.IsAStale() {
		errs = append(errs, fmt.Errorf("stale %d is unknown; use serve or refuse", p.Stale))
	}
	if d := time.Duration(p.Deadline); d <= 0 || d > maxDeadline {
		errs = append(errs, fmt.Errorf("deadline %s is out of range; use more than 0s and at most %s", d, maxDeadline))
	}
	if len(p.Change) > maxChangeLen {
		errs = append(errs, fmt.Errorf("change has %d characters; use at most %d", len(p.Change), maxChangeLen))
	}
	errs = append(errs,
		checkRange("queue", p.Queue, 1, maxQueue),
		checkRange("concurrency", p.Concurrency, 0, maxConcurrency),
		checkRange("quota", p.Quota, 1, maxQuota))
	return errors.Join(errs...)
}

func checkRange(field string, n, low, high int) error {
	if n < low || n > high {
		return fmt.Errorf("%s %d is out of range; use %d to %d", field, n, low, high)
	}
	return nil
}

// Newer reports whether p supersedes q, a version of the same profile. Two writes of one
// version can only come from a store that was restored to an older state. The ID of the
// change then decides, the same way on every entry, or the content if neither has an ID.
func (p *Profile) Newer(q *Profile) bool {
	if p.Version != q.Version {
		return p.Version > q.Version
	}
	if p.Change != q.Change {
		return p.Change > q.Change
	}
	return *p != *q && bytes.Compare(p.Content(), q.Content()) > 0
}

// Content returns the whole profile as JSON.
func (p *Profile) Content() []byte {
	b, err := json.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("profile %q cannot be encoded: %v", p.Name, err)) // cannot happen: it was decoded from JSON
	}
	return b
}
