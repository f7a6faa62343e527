// Package caller serves the callers' HTTP API: issue tickets, and submit, fetch and cancel jobs.
//
// # Usage
//
//	h := caller.New(loop)
//	server := &http.Server{Handler: h}
//
// docs/callers.md describes the API for its users.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"cornelwall"
	"cornelwall/io/web"
)

const (
	maxBody               = 12 << 20 // bytes; fits a job of the maximum size in base64
	maxKey                = 256      // bytes of an Idempotency-Key
	maxDraw               = 1000     // tickets per request; package client and the command "tickets draw" have the same limit
	headerKey             = "Idempotency-Key"
	headerExactRetryAfter = "Cornelwall-Back" // Retry-After as a duration, not rounded up to seconds
)

// Asker sends a request event to the core and waits for the reply.
type Asker interface {
	Ask(ctx context.Context, event func(req uint64) cornelwall.Event) (cornelwall.Command, error)
}

// TicketsRequest is a request for tickets.
type TicketsRequest struct {
	Profile string `json:"profile"`
	Count   int    `json:"count"`
}

// Check returns an error that joins all problems of the request.
func (r *TicketsRequest) Check() error {
	err := cornelwall.CheckName("profile", r.Profile)
	if r.Count < 1 || r.Count > maxDraw {
		err = errors.Join(err, fmt.Errorf("count %d is out of range; use 1 to %d", r.Count, maxDraw))
	}
	return err
}

// TicketsReply is the answer to a TicketsRequest.
type TicketsReply struct {
	Tickets []cornelwall.Ticket `json:"tickets"`
}

// handler serves the API.
type handler struct{ core Asker }

// New returns the handler of the API.
func New(core Asker) http.Handler {
	h := &handler{core: core}
	e := web.New()
	e.POST("/v1/tickets", h.drawTickets)
	e.POST("/v1/jobs", h.submit)
	e.GET("/v1/jobs/:ticket", h.fetch)
	e.DELETE("/v1/jobs/:ticket", h.cancel)
	e.GET("/healthz", h.health)
	e.GET("/readyz", h.ready)
	return e
}

func (h *handler) drawTickets(c echo.Context) error {
	var r TicketsRequest
	if err := web.Decode(c, &r, maxBody); err != nil {
		return err
	}
	cmd, err := h.core.Ask(c.Request().Context(), func(req uint64) cornelwall.Event {
		return cornelwall.DrawTickets{Req: req, Profile: r.Profile, N: r.Count}
	})
	if err != nil {
		return err
	}
	reply := cmd.(cornelwall.ReplyTickets)
	if len(reply.Tickets) == 0 {
		return writeAnswer(c, reply.Answer)
	}
	return c.JSON(http.StatusOK, TicketsReply{Tickets: reply.Tickets})
}

func (h *handler) submit(c echo.Context) error {
	var j cornelwall.Job
	if err := web.Decode(c, &j, maxBody); err != nil {
		return err
	}
	key := c.Request().Header.Get(headerKey)
	if len(key) > maxKey {
		return web.InputError(fmt.Errorf("%s has %d bytes; use at most %d", headerKey, len(key), maxKey))
	}
	if key != "" && !j.Ticket.IsZero() {
		return web.InputError(fmt.Errorf("%s and ticket are both set; use one", headerKey))
	}
	return h.ask(c, func(req uint64) cornelwall.Event {
		return cornelwall.Submit{Req: req, Job: &j, Key: key}
	})
}

func (h *handler) fetch(c echo.Context) error {
	t, err := cornelwall.ParseTicket(c.Param("ticket"))
	if err != nil {
		return web.InputError(err)
	}
	wait := false
	if s := c.QueryParam("wait"); s != "" {
		if wait, err = strconv.ParseBool(s); err != nil {
			return web.InputError(fmt.Errorf("wait %q is not valid; use true or false", s))
		}
	}
	return h.ask(c, func(req uint64) cornelwall.Event {
		return cornelwall.Fetch{Req: req, Ticket: t, Wait: wait}
	})
}

func (h *handler) cancel(c echo.Context) error {
	t, err := cornelwall.ParseTicket(c.Param("ticket"))
	if err != nil {
		return web.InputError(err)
	}
	return h.ask(c, func(req uint64) cornelwall.Event { return cornelwall.Cancel{Req: req, Ticket: t} })
}

func (h *handler) ask(c echo.Context, event func(req uint64) cornelwall.Event) error {
	cmd, err := h.core.Ask(c.Request().Context(), event)
	if err != nil {
		return writeAnswer(c, stoppingAnswer)
	}
	return writeAnswer(c, cmd.(cornelwall.Reply).Answer)
}

// stoppingAnswer is the answer to a request that the core did not answer before the process
// stopped or the request was cancelled. Here the outcome of the job is unknown.
var stoppingAnswer = cornelwall.Answer{
	Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonStopping, RetryAfter: cornelwall.Duration(time.Second),
	Text: "the entry stopped before the job ended; ask another entry with the same ticket",
}

// writeAnswer sends an answer with its HTTP status and retry headers.
func writeAnswer(c echo.Context, a cornelwall.Answer) error {
	if delay := time.Duration(a.RetryAfter); delay > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(int((delay+time.Second-1)/time.Second)))
		c.Response().Header().Set(headerExactRetryAfter, delay.String())
	}
	return c.JSON(HTTPStatus(&a), a)
}

// HTTPStatus returns the HTTP status of an answer.
func HTTPStatus(a *cornelwall.Answer) int {
	switch a.Reason {
	case cornelwall.ReasonContent:
		return http.StatusConflict
	case cornelwall.ReasonTicket:
		return http.StatusForbidden
	case cornelwall.ReasonExpired:
		return http.StatusGone
	case cornelwall.ReasonNoProfile, cornelwall.ReasonNeverFits:
		return http.StatusUnprocessableEntity
	}
	switch a.Outcome {
	case cornelwall.Done:
		return http.StatusOK
	case cornelwall.Pending:
		return http.StatusAccepted
	case cornelwall.NotRun:
		return http.StatusServiceUnavailable
	case cornelwall.Unknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
