// Package task is the work that the stand-ins of executors and workers do.
//
// # Usage
//
//	t := task.Parse(body)
//	state := task.NewState()
//	state.Count(ticket, index, t)
//	ok := state.Work(t, stop)
//
// A body such as {"sleep":"50ms","echo":"text"} sleeps and returns the text. A body
// that is not a JSON object is returned at once.
package task

import (
	"encoding/json"
	"maps"
	"strconv"
	"sync"
	"time"

	"cornelwall"
)

// Task is what a body asks for.
type Task struct {
	Sleep        cornelwall.Duration `json:"sleep,omitempty"`
	Echo         string              `json:"echo,omitempty"`
	Fail         bool                `json:"fail,omitempty"`
	ReadAndClose bool                `json:"read-and-close,omitempty"` // start, but close the connection without an answer
}

// Parse reads a body.
func Parse(body []byte) Task {
	var t Task
	if err := json.Unmarshal(body, &t); err != nil {
		return Task{Echo: string(body)}
	}
	return t
}

// Body returns the body that asks for the task.
func (t Task) Body() []byte {
	body, _ := json.Marshal(t) // has no field that could fail
	return body
}

// Control is how a stand-in behaves until the next Control.
type Control struct {
	Drain      bool    `json:"drain"`
	FailAll    bool    `json:"failall"`
	SlowFactor float64 `json:"slow"` // factor on the sleep; 0 is 1
	Hang       bool    `json:"hang"` // started tasks do not end
}

// StartCounts is how often tasks were started and refused. Work tells whether work was
// done twice under two tickets.
type StartCounts struct {
	Starts  map[string]int `json:"starts"`  // by "ticket/index"
	ByText  map[string]int `json:"work"`    // by the text to echo
	Refused map[string]int `json:"refused"` // by reason
}

// State is the control and the starts of one stand-in. It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	control Control
	changed chan struct{} // closed by the next Set
	counts  StartCounts
}

// NewState returns a state without starts.
func NewState() *State {
	return &State{
		changed: make(chan struct{}),
		counts:  StartCounts{Starts: map[string]int{}, ByText: map[string]int{}, Refused: map[string]int{}},
	}
}

// Set replaces the control. Hanging tasks go on once Hang is off.
func (s *State) Set(control Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = control
	close(s.changed)
	s.changed = make(chan struct{})
}

// Control returns the control and a channel that closes when it changes.
func (s *State) Control() (Control, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control, s.changed
}

// Drain sets Drain and leaves the rest of the control.
func (s *State) Drain() {
	control, _ := s.Control()
	control.Drain = true
	s.Set(control)
}

// CountStart counts one start.
func (s *State) CountStart(ticket string, index int, t Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Starts[ticket+"/"+strconv.Itoa(index)]++
	if t.Echo != "" {
		s.counts.ByText[t.Echo]++
	}
}

// CountRefusal counts one refused start.
func (s *State) CountRefusal(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Refused[reason]++
}

// Starts returns a copy of the counts.
func (s *State) Starts() StartCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StartCounts{
		Starts:  maps.Clone(s.counts.Starts),
		ByText:  maps.Clone(s.counts.ByText),
		Refused: maps.Clone(s.counts.Refused),
	}
}

// Run does the task and reports whether it succeeded. It fails when stop closes.
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

// waitWhileHanging waits until Hang is off and reports whether it is.
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
