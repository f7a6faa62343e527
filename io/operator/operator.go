// Package operator serves the operators' HTTP API: create, change, retire and inspect
// profiles. Every request needs the operators' token.
//
// # Usage
//
//	h := operator.New(loop, changer, token)
//	server := &http.Server{Handler: h}
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"cornelwall"
)

const maxBody = 64 << 10 // bytes of a profile

// Core is what the API needs of the core.
type Core interface {
	cornelwall.Poster
	Ask(ctx context.Context, event func(req uint64) cornelwall.Event) (cornelwall.Command, error)
}

// Status is the version of a profile in force at each entry.
type Status struct {
	Force []cornelwall.Force `json:"force"`
}

// Problem is the answer to a request that was refused.
type Problem struct {
	Error string `json:"error"`
}

type handler struct {
	core    Core
	changer *Changer
	token   string
}

// New returns the handler of the API.
func New(core Core, store cornelwall.Store, token string, draw func() string) http.Handler {
	h := &handler{core: core, token: token}
	h.changer = &Changer{Store: store, Known: h.known, Draw: draw}
	e := echo.New()
	e.HTTPErrorHandler = writeError
	g := e.Group("/v1", h.authorise)
	g.GET("/profiles", h.list)
	g.GET("/profiles/:name", h.show)
	g.PUT("/profiles/:name", h.apply)
	g.DELETE("/profiles/:name", h.retire)
	g.GET("/profiles/:name/status", h.status)
	return e
}

func (h *handler) authorise(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		got := c.Request().Header.Get("Authorization")
		if subtle.ConstantTimeCompare([]byte(got), []byte("Bearer "+h.token)) != 1 {
			return cornelwall.ErrAuth
		}
		return next(c)
	}
}

func (h *handler) catalog(ctx context.Context) ([]cornelwall.Profile, error) {
	cmd, err := h.core.Ask(ctx, func(req uint64) cornelwall.Event { return cornelwall.Catalog{Req: req} })
	if err != nil {
		return nil, err
	}
	return cmd.(cornelwall.ReplyCatalog).Profiles, nil
}

// known returns the highest version of a profile that this entry knows.
func (h *handler) known(name string) cornelwall.Profile {
	ps, err := h.catalog(context.Background())
	if err != nil {
		return cornelwall.Profile{Name: name}
	}
	for _, p := range ps {
		if p.Name == name {
			return p
		}
	}
	return cornelwall.Profile{Name: name}
}

func (h *handler) list(c echo.Context) error {
	ps, err := h.catalog(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, cornelwall.Profiles{Profiles: ps})
}

func (h *handler) show(c echo.Context) error {
	p := h.known(c.Param("name"))
	if p.Version == 0 {
		return merry.Wrap(cornelwall.ErrMissing, merry.AppendMessagef("profile %q", c.Param("name")))
	}
	return c.JSON(http.StatusOK, p)
}

func (h *handler) apply(c echo.Context) error {
	var p cornelwall.Profile
	dec := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return merry.Wrap(cornelwall.ErrInput, merry.AppendMessage(err.Error()))
	}
	if p.Name != c.Param("name") {
		return merry.Wrap(cornelwall.ErrInput, merry.AppendMessagef("name %q is not the name %q in the path", p.Name, c.Param("name")))
	}
	expect, err := expected(c)
	if err != nil {
		return err
	}
	p, err = h.changer.Apply(c.Request().Context(), p, expect)
	return h.accepted(c, p, err)
}

func (h *handler) retire(c echo.Context) error {
	expect, err := expected(c)
	if err != nil {
		return err
	}
	p, err := h.changer.Retire(c.Request().Context(), c.Param("name"), expect)
	return h.accepted(c, p, err)
}

// accepted puts an accepted change in force here, from where it reaches the others.
func (h *handler) accepted(c echo.Context, p cornelwall.Profile, err error) error {
	if err != nil {
		return err
	}
	h.core.Post(cornelwall.Watched{Profiles: []cornelwall.Profile{p}})
	return c.JSON(http.StatusOK, p)
}

// expected returns the version that the change is meant to replace.
func expected(c echo.Context) (uint64, error) {
	s := c.QueryParam("expect")
	if s == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, merry.Wrap(cornelwall.ErrInput, merry.AppendMessage(fmt.Sprintf("expect %q is not a version", s)))
	}
	return v, nil
}

func (h *handler) status(c echo.Context) error {
	cmd, err := h.core.Ask(c.Request().Context(), func(req uint64) cornelwall.Event {
		return cornelwall.Inspect{Req: req, Name: c.Param("name")}
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Status{Force: cmd.(cornelwall.ReplyForce).Force})
}

func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	code := merry.HTTPCode(err)
	var he *echo.HTTPError
	if errors.As(err, &he) {
		code = he.Code
	}
	_ = c.JSON(code, Problem{Error: err.Error()}) // the connection is gone if this fails
}
