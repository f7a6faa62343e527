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

// SetControl controls an executor or worker.
func SetControl(ctx context.Context, p *Process, control task.Control) error {
	return CallJSON(ctx, http.MethodPost, p.URL()+"/ctl", control, nil)
}

// SetControlAll controls all executors and workers that have not ended.
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

// StartsOf returns what an executor or worker has counted. Of one that was ended by
// KillMachine it is the last count.
func (s *System) StartsOf(ctx context.Context, p *Process) (task.StartCounts, error) {
	if starts, ok := s.finalStarts[p]; ok {
		return starts, nil
	}
	var starts task.StartCounts
	err := CallJSON(ctx, http.MethodGet, p.URL()+"/starts", nil, &starts)
	return starts, err
}

// Starts returns what all executors and workers have counted.
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

// KillMachine keeps the count of an executor or worker and ends it at once. Nothing may
// start on it between the two.
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

// HasExited reports whether the process has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// LogContains reports whether the log of the process has the text.
func (p *Process) LogContains(text string) (bool, error) {
	log, err := os.ReadFile(p.LogFile)
	return bytes.Contains(log, []byte(text)), err
}
