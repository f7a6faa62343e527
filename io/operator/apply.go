package operator

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"unicode"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"cornelwall"
	"cornelwall/io/web"
)

const (
	// HeaderOperator names who makes a change, for the log. It is not checked.
	HeaderOperator = "Cornelwall-Operator"

	maxOperatorLen = 64 // characters
)

// profileRequest is a profile as an operator sends it.
type profileRequest struct{ cornelwall.Profile }

// Check reports all that is wrong with the draft once the defaults are filled in.
func (d *profileRequest) Check() error {
	d.Normalise()
	err := d.Profile.Check()
	if d.Retired {
		err = errors.Join(err, errors.New("retired is true; retire a profile with \"profile retire\""))
	}
	return err
}

func (h *handler) apply(c echo.Context) error {
	terms, err := readPreconditions(c)
	if err != nil {
		return h.reject(c, err)
	}
	d := profileRequest{cornelwall.NewProfile()}
	if err := web.Decode(c, &d, maxBody); err != nil {
		return h.reject(c, err)
	}
	if d.Name != c.Param("name") {
		return h.reject(c, web.InputError(fmt.Errorf("name %q is not the name %q in the path; make them the same", d.Name, c.Param("name"))))
	}
	p, err := h.changer.Apply(c.Request().Context(), d.Profile, terms)
	return h.accept(c, p, err)
}

func (h *handler) retire(c echo.Context) error {
	terms, err := readPreconditions(c)
	if err != nil {
		return h.reject(c, err)
	}
	p, err := h.changer.Retire(c.Request().Context(), c.Param("name"), terms)
	return h.accept(c, p, err)
}

// accept puts an accepted change in force here, from where it reaches the others.
func (h *handler) accept(c echo.Context, p cornelwall.Profile, err error) error {
	if err != nil {
		return h.reject(c, err)
	}
	h.core.Post(cornelwall.WatchUpdate{Profiles: []cornelwall.Profile{p}})
	countChange("accepted")
	h.log.Info("profile-changed", "profile", p.Name, "version", p.Version, "retired", p.Retired, "change", p.Change,
		"operator", operatorName(c), "from", c.Request().RemoteAddr, "class", p.Class, "team", p.Team,
		"deadline", p.Deadline, "queue", p.Queue, "concurrency", p.Concurrency, "quota", p.Quota,
		"idempotent", p.Idempotent, "stale", p.Stale)
	return c.JSON(http.StatusOK, p)
}

// reject records a change that was not accepted.
func (h *handler) reject(c echo.Context, err error) error {
	countChange(errorLabel(err))
	h.log.Info("profile-refused", "profile", c.Param("name"), "operator", operatorName(c),
		"from", c.Request().RemoteAddr, "error", err.Error())
	return err
}

func countChange(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cornelwall_profile_changes_total{result=%q}", result)).Inc()
}

// errorLabel names the kind of an error for the counter.
func errorLabel(err error) string {
	for _, k := range []struct {
		kind error
		name string
	}{
		{cornelwall.ErrInput, "input"},
		{cornelwall.ErrMissing, "missing"},
		{cornelwall.ErrExists, "exists"},
		{cornelwall.ErrConflict, "conflict"},
		{cornelwall.ErrRetired, "retired"},
		{cornelwall.ErrStore, "store"},
		{cornelwall.ErrStopping, "stopping"},
	} {
		if errors.Is(err, k.kind) {
			return k.name
		}
	}
	return "other"
}

// operatorName returns who says to make the request.
func operatorName(c echo.Context) string {
	name := strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return -1
	}, c.Request().Header.Get(HeaderOperator))
	return name[:min(len(name), maxOperatorLen)]
}

// readPreconditions reads the conditions of a change from the query and reports all that is
// wrong with them.
func readPreconditions(c echo.Context) (Preconditions, error) {
	errs := []error{web.CheckQuery(c, "expect", "create", "change")}
	t := Preconditions{ChangeID: c.QueryParam("change")}
	if s := c.QueryParam("expect"); s != "" {
		var err error
		if t.ExpectVersion, err = strconv.ParseUint(s, 10, 64); err != nil || t.ExpectVersion == 0 {
			errs = append(errs, fmt.Errorf("expect %q is not a version; use the number that \"profile show\" prints", s))
		}
	}
	if s := c.QueryParam("create"); s != "" {
		var err error
		if t.Create, err = strconv.ParseBool(s); err != nil {
			errs = append(errs, fmt.Errorf("create %q is not valid; use true or false", s))
		}
	}
	if t.Create && t.ExpectVersion != 0 {
		errs = append(errs, errors.New("create and expect are both set; use one"))
	}
	if t.ChangeID != "" {
		errs = append(errs, cornelwall.CheckName("change", t.ChangeID))
		if !t.Create && t.ExpectVersion == 0 {
			errs = append(errs, errors.New("change is set without expect or create; set one, so that a repeat cannot undo a later change"))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return t, web.InputError(err)
	}
	return t, nil
}
