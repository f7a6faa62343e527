package explain

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Field is a key and a value of a line.
type Field struct{ Key, Value string }

// Line is one line of the log of an entry.
type Line struct {
	At     time.Time
	Event  string
	Entry  string  // name of the entry, with its data centre and without its incarnation
	Fields []Field // all others, in the order of the line
}

// ParseLine parses a line of key=value pairs. Whatever comes before its time, such as a prefix of a log
// collector, is skipped.
func ParseLine(text string) (Line, error) {
	i := strings.Index(text, "time=")
	if i < 0 {
		return Line{}, errors.New(`no "time="; pass what cornelwall dispatch has written`)
	}
	var l Line
	d := logfmt.NewDecoder(strings.NewReader(text[i:]))
	d.ScanRecord()
	for d.ScanKeyval() {
		switch key, value := string(d.Key()), string(d.Value()); key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, fmt.Errorf("time %q is not a time: %w", value, err)
			}
			l.At = at
		case "level":
		case "msg":
			l.Event = value
		case "entry":
			l.Entry = entryName(value)
		default:
			l.Fields = append(l.Fields, Field{key, value})
		}
	}
	if err := d.Err(); err != nil {
		return Line{}, err
	}
	return l, nil
}

// entryName returns the name of an entry without its incarnation.
func entryName(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return id
}

// Get returns the value of a field, or an empty string if the line has no such field.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// duration returns the value of a field as a duration, or 0 if it is none.
func (l *Line) duration(key string) time.Duration {
	d, err := time.ParseDuration(l.Get(key))
	if err != nil {
		return 0
	}
	return d
}

// batch returns the ID of the batch that a line is about, or an empty string.
func (l *Line) batch() string {
	if id := l.Get("job"); id != "" {
		return id
	}
	id, _, _ := strings.Cut(l.Get("task"), ".")
	return id
}
