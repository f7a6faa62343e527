// Package task simulates the tasks that the stand-ins of executors and workers run.
//
// # Usage
//
//	t := task.Parse(body)
//	state := task.NewState()
//	state.CountStart(ticket, index, t)
//	ok := state.Run(t, stop)
//
// A task with a body such as {"sleep":"50ms","echo":"text"} sleeps and returns the text. A
// body that is not a JSON object is returned at once.
package task

import (
	"encoding/json"
	"maps"
	"strconv"
	"sync"
	"time"

	"cornelwall"
)

// Task describes a simulated task.
type Task struct {
	Sleep        cornelwall.Duration `json:"sleep,omitempty"`
	Echo         string              `json:"echo,omitempty"`
	Fail         bool                `json:"fail,omitempty"`
	ReadAndClose bool                `json:"read-and-close,omitempty"` // start the task, but close the connection without an answer
}

// Parse decodes a request body.
func Parse(body []byte) Task {
	var t Task
	if err := json.Unmarshal(body, &t); err != nil {
		return Task{Echo: string(body)}
	}
	return t
}

// Body returns the request body for the task.
func (t Task) Body() []byte {
	body, _ := json.Marshal(t) // no field can fail to encode
	return body
}

// Control is how a stand-in behaves until another Control is set.
type Control struct {
	Drain      bool    `json:"drain"`
	FailAll    bool    `json:"failall"`
	SlowFactor float64 `json:"slow"` // multiplies the sleep of each task; 0 is 1
	Hang       bool    `json:"hang"` // tasks do not end while it is set
}

// StartCounts is how often tasks were started and refused. ByEcho shows whether the same work
// was started under more than one ticket.
type StartCounts struct {
	Starts  map[string]int `json:"starts"`  // by "ticket/index"
	ByEcho  map[string]int `json:"work"`    // starts by echo text
	Refused map[string]int `json:"refused"` // by reason
}

// State is the control and the start counts of one stand-in. It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	control Control
	changed chan struct{} // closed at the next Set
	counts  StartCounts
}

// NewState returns a state with empty counts.
func NewState() *State {
	return &State{
		changed: make(chan struct{}),
		counts:  StartCounts{Starts: map[string]int{}, ByEcho: map[string]int{}, Refused: map[string]int{}},
	}
}

// Set replaces the control. Hanging tasks continue once Hang is off.
func (s *State) Set(control Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = control
	close(s.changed)
	s.changed = make(chan struct{})
}

// Control returns the control and a channel that is closed when it is replaced.
func (s *State) Control() (Control, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control, s.changed
}

// Drain sets Drain and keeps the rest of the control.
func (s *State) Drain() {
	control, _ := s.Control()
	control.Drain = true
	s.Set(control)
}

// CountStart counts a start of a task.
func (s *State) CountStart(ticket string, index int, t Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Starts[ticket+"/"+strconv.Itoa(index)]++
	if t.Echo != "" {
		s.counts.ByEcho[t.Echo]++
	}
}

// CountRefusal counts a refused start.
func (s *State) CountRefusal(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Refused[reason]++
}

// Counts returns a copy of the counts.
func (s *State) Counts() StartCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StartCounts{
		Starts:  maps.Clone(s.counts.Starts),
		ByEcho:  maps.Clone(s.counts.ByEcho),
		Refused: maps.Clone(s.counts.Refused),
	}
}

// Run runs the task and reports whether it succeeded. It fails when stop is closed.
func (s *State) Run(t Task, stop <-chan struct{}) bool {
	control, _ := s.Control()
	sleep := time.Duration(t.Sleep)
	if control.SlowFactor > 0 {
		sleep = time.Duration(float64(sleep) * control.SlowFactor)
	}
	if sleep > 0 {
		timer := time.NewTimer(sleep)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-stop:
			return false
		}
	}
	if !s.waitWhileHanging(stop) {
		return false
	}
	control, _ = s.Control()
	return !t.Fail && !control.FailAll
}

// waitWhileHanging waits until Hang is off. It reports false if stop is closed first.
func (s *State) waitWhileHanging(stop <-chan struct{}) bool {
	for {
		control, changed := s.Control()
		if !control.Hang {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}
