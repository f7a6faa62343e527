// Package operator serves the operators' HTTP API: create, change, retire and inspect
// profiles. Every request needs the operators' token.
//
// # Usage
//
//	h := operator.New(loop, store, token, newChangeID, log)
//	server := &http.Server{Handler: h}
//
// docs/operators.md describes the API for its users.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"
	"github.com/labstack/echo/v4"

	"cornelwall"
	"cornelwall/io/web"
)

const maxBody = 64 << 10 // bytes of a request

var authFailures = metrics.NewCounter("cornelwall_operator_auth_failures_total")

// Core is the part of the core that the API uses.
type Core interface {
	cornelwall.EventSink
	Ask(ctx context.Context, event func(req uint64) cornelwall.Event) (cornelwall.Command, error)
}

type handler struct {
	core         Core
	changer      *Changer
	wantAuthHash [sha256.Size]byte // hash of the expected Authorization header; comparing hashes hides its length from timing attacks
	log          logr.Logger
}

// New returns the handler of the API. newChangeID returns a unique ID for a change whose request
// gives none.
func New(core Core, store cornelwall.Store, token string, newChangeID func() string, log logr.Logger) http.Handler {
	h := &handler{core: core, wantAuthHash: sha256.Sum256([]byte("Bearer " + token)), log: log}
	h.changer = &Changer{Store: store, LatestKnown: h.latestKnown, NewChangeID: newChangeID}
	e := web.New()
	g := e.Group("/v1", h.authenticate)
	g.GET("/profiles", h.list)
	g.GET("/profiles/:name", h.show)
	g.PUT("/profiles/:name", h.apply)
	g.DELETE("/profiles/:name", h.retire)
	g.GET("/profiles/:name/status", h.status)
	return e
}

func (h *handler) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		got := sha256.Sum256([]byte(c.Request().Header.Get("Authorization")))
		if subtle.ConstantTimeCompare(got[:], h.wantAuthHash[:]) != 1 {
			authFailures.Inc()
			h.log.Info("operator-refused", "from", c.Request().RemoteAddr, "method", c.Request().Method, "path", c.Path())
			return cornelwall.ErrAuth
		}
		return next(c)
	}
}

// catalog returns all profiles that this entry knows.
func (h *handler) catalog(ctx context.Context) ([]cornelwall.Profile, error) {
	cmd, err := h.core.Ask(ctx, func(req uint64) cornelwall.Event { return cornelwall.FetchProfiles{Req: req} })
	if err != nil {
		return nil, err
	}
	return cmd.(cornelwall.ReplyProfiles).Profiles, nil
}

// latestKnown returns the highest version of a profile that this entry knows. The version is 0 if
// the profile is unknown.
func (h *handler) latestKnown(ctx context.Context, name string) (cornelwall.Profile, error) {
	ps, err := h.catalog(ctx)
	if err != nil {
		return cornelwall.Profile{}, err
	}
	for _, p := range ps {
		if p.Name == name {
			return p, nil
		}
	}
	return cornelwall.Profile{Name: name}, nil
}

func (h *handler) list(c echo.Context) error {
	ps, err := h.catalog(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, cornelwall.Profiles{Profiles: ps})
}

func (h *handler) show(c echo.Context) error {
	p, err := h.latestKnown(c.Request().Context(), c.Param("name"))
	if err != nil {
		return err
	}
	if p.Version == 0 {
		return missingError(p.Name)
	}
	return c.JSON(http.StatusOK, p)
}

func missingError(name string) error {
	return merry.Wrap(cornelwall.ErrMissing, merry.AppendMessagef("profile %q", name))
}
