package local

import (
	"bytes"
	"context"
	"net/http"
	"os"

	"cornelwall/standin/task"
)

// Machines returns all executors and workers.
func (s *System) Machines() []*Process {
	return append(append([]*Process{}, s.Executors...), s.Workers...)
}

// SetControl replaces the control of a stand-in executor or worker.
func SetControl(ctx context.Context, p *Process, control task.Control) error {
	return CallJSON(ctx, http.MethodPost, p.URL()+"/ctl", control, nil)
}

// SetControlAll replaces the control of all executors and workers that have not exited.
func (s *System) SetControlAll(ctx context.Context, control task.Control) error {
	for _, p := range s.Machines() {
		if p.HasExited() {
			continue
		}
		if err := SetControl(ctx, p, control); err != nil {
			return err
		}
	}
	return nil
}

// StartsOf returns the task starts that an executor or worker has counted. After KillMachine it
// returns the last count before the kill.
func (s *System) StartsOf(ctx context.Context, p *Process) (task.StartCounts, error) {
	if starts, ok := s.finalStarts[p]; ok {
		return starts, nil
	}
	var starts task.StartCounts
	err := CallJSON(ctx, http.MethodGet, p.URL()+"/starts", nil, &starts)
	return starts, err
}

// Starts returns the task starts that each executor and worker has counted.
func (s *System) Starts(ctx context.Context) ([]task.StartCounts, error) {
	var all []task.StartCounts
	for _, p := range s.Machines() {
		starts, err := s.StartsOf(ctx, p)
		if err != nil {
			return nil, err
		}
		all = append(all, starts)
	}
	return all, nil
}

// KillMachine reads the starts of an executor or worker and then kills it. The caller makes sure
// that no task starts on it between the two, because such a start would not be counted.
func (s *System) KillMachine(ctx context.Context, p *Process) error {
	starts, err := s.StartsOf(ctx, p)
	if err != nil {
		return err
	}
	if s.finalStarts == nil {
		s.finalStarts = map[*Process]task.StartCounts{}
	}
	s.finalStarts[p] = starts
	return p.Kill()
}

// HasExited reports whether the process has exited.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// LogContains reports whether the log file of the process contains the text.
func (p *Process) LogContains(text string) (bool, error) {
	log, err := os.ReadFile(p.LogFile)
	return bytes.Contains(log, []byte(text)), err
}
