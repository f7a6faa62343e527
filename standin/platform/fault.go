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

// Fault is how the platform misbehaves until SetFault is called again.
type Fault struct {
	Down        bool                 `json:"down"`
	Delay       cornelwall.Duration  `json:"delay,omitempty"` // before each call
	LoseAnswers int                  `json:"loseanswers"`     // number of next writes that take effect but lose their answer
	LoseSwaps   int                  `json:"loseswaps"`       // the same for transactions only
	VMs         bool                 `json:"vms"`             // Delay and Down apply to the VM list too
	Lag         *cornelwall.Duration `json:"lag,omitempty"`   // of the VM list; nil leaves it unchanged
}

// faults is the current fault and the number of calls of each kind.
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

// dropAnswer reports whether to lose the answer to this write, and decrements the counter of
// answers to lose.
func (f *faults) dropAnswer(txn bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case txn && f.fault.LoseSwaps > 0:
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

// middleware counts a call of the kind and applies the current fault before next.
func (f *faults) middleware(kind string, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f.countCall(kind)
		// The server detects that the client has disconnected only once the body is read.
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

// sleep waits for the delay and reports whether the client is still connected.
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
