package platform

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"cornelwall"
)

// Fault is how the platform misbehaves until the next Fault.
type Fault struct {
	Down        bool                 `json:"down"`
	Delay       cornelwall.Duration  `json:"delay,omitempty"` // of each call
	LoseAnswers int                  `json:"loseanswers"`     // writes that take effect without an answer
	LoseSwaps   int                  `json:"loseswaps"`       // of the writes, swaps that do so
	VMs         bool                 `json:"vms"`             // Down and Delay are for the VM list too
	Lag         *cornelwall.Duration `json:"lag,omitempty"`   // of the VM list; left out it stays
}

// faults is the fault in force and the number of calls of each kind.
type faults struct {
	mu    sync.Mutex
	fault Fault
	calls map[string]int
}

func (f *faults) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *faults) get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// dropAnswer reports whether the answer of this write is to be lost.
func (f *faults) dropAnswer(swap bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case swap && f.fault.LoseSwaps > 0:
		f.fault.LoseSwaps--
	case f.fault.LoseAnswers > 0:
		f.fault.LoseAnswers--
	default:
		return false
	}
	return true
}

func (f *faults) countCall(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[kind]++
}

func (f *faults) stats() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := make(map[string]int, len(f.calls))
	for kind, n := range f.calls {
		calls[kind] = n
	}
	return calls
}

// middleware counts a call of the kind and applies the fault before it.
func (f *faults) middleware(kind string, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f.countCall(kind)
		// The server notices that a caller has gone only once the body is read.
		body, err := io.ReadAll(c.Request().Body)
		if err != nil {
			return err
		}
		c.Request().Body = io.NopCloser(bytes.NewReader(body))
		if kind == kindVMs && !f.get().VMs {
			return next(c)
		}
		if delay := time.Duration(f.get().Delay); delay > 0 && !sleep(c, delay) {
			return nil
		}
		if f.get().Down {
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

// sleep reports whether the caller was still there after the delay.
func sleep(c echo.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.Request().Context().Done():
		return false
	}
}
