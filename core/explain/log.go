package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
)

const maxLineLength = 1 << 20 // bytes

// Log is what any number of entries have logged.
type Log struct {
	Lines        []Line
	Unreadable   int    // lines that could not be parsed
	FirstProblem string // with the first of them
}

// Read adds the lines of a file.
func (l *Log) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineLength)
	for n := 1; s.Scan(); n++ {
		if s.Text() == "" {
			continue
		}
		line, err := ParseLine(s.Text())
		if err != nil {
			l.Unreadable++
			if l.FirstProblem == "" {
				l.FirstProblem = fmt.Sprintf("%s:%d: %s", name, n, err)
			}
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// Batches returns the batches that the entries took or refused, in the order of their arrival. A batch
// that its caller sent again is one for each entry that it was sent to.
func (l *Log) Batches() []Batch {
	sortByTime(l.Lines)
	byID := map[string][]Line{}
	for _, line := range l.Lines {
		if id := line.batch(); id != "" {
			byID[id] = append(byID[id], line)
		}
	}
	var list []Batch
	for _, lines := range byID {
		list = append(list, BatchesOf(lines)...)
	}
	slices.SortFunc(list, func(a, b Batch) int { return a.compare(&b) })
	return list
}

// LinesOf returns the lines about a batch in the order of time.
func (l *Log) LinesOf(batch string) []Line {
	var list []Line
	for _, line := range l.Lines {
		if line.batch() == batch {
			list = append(list, line)
		}
	}
	sortByTime(list)
	return list
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}
