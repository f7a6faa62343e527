package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"cornelwall"
)

const statusTimeout = time.Second // for the core to answer a health or readiness check

// Readiness is the answer to a health or readiness check.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"why,omitempty"` // why the entry is not ready, each with the remedy
}

// health returns 200 while the core answers.
func (h *handler) health(c echo.Context) error {
	if _, err := h.status(c); err != nil {
		return c.JSON(http.StatusServiceUnavailable, Readiness{Reasons: []string{"the core does not answer; restart the entry if this lasts"}})
	}
	return c.JSON(http.StatusOK, Readiness{Ready: true})
}

// ready returns 200 while the load balancer should route callers to this entry.
func (h *handler) ready(c echo.Context) error {
	s, err := h.status(c)
	if err != nil {
		return c.JSON(http.StatusServiceUnavailable, Readiness{Reasons: []string{"the core does not answer"}})
	}
	if reasons := s.Unready(); len(reasons) > 0 {
		return c.JSON(http.StatusServiceUnavailable, Readiness{Reasons: reasons})
	}
	return c.JSON(http.StatusOK, Readiness{Ready: true})
}

func (h *handler) status(c echo.Context) (cornelwall.Status, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), statusTimeout)
	defer cancel()
	cmd, err := h.core.Ask(ctx, func(req uint64) cornelwall.Event { return cornelwall.FetchStatus{Req: req} })
	if err != nil {
		return cornelwall.Status{}, err
	}
	return cmd.(cornelwall.ReplyStatus).Status, nil
}
