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
	// HeaderOperator carries the name of the operator for the log. It is not authenticated.
	HeaderOperator = "Cornelwall-Operator"

	maxOperatorLen = 64 // bytes
)

// profileRequest is the body of a request that creates or changes a profile.
type profileRequest struct{ cornelwall.Profile }

// Check fills in the defaults and returns an error that joins all problems of the profile.
func (r *profileRequest) Check() error {
	r.Normalise()
	err := r.Profile.Check()
	if r.Retired {
		err = errors.Join(err, errors.New("retired is true; retire a profile with \"profile retire\""))
	}
	return err
}

func (h *handler) apply(c echo.Context) error {
	pre, err := readPreconditions(c)
	if err != nil {
		return h.reject(c, err)
	}
	r := profileRequest{cornelwall.NewProfile()}
	if err := web.Decode(c, &r, maxBody); err != nil {
		return h.reject(c, err)
	}
	if r.Name != c.Param("name") {
		return h.reject(c, web.InputError(fmt.Errorf("name %q is not the name %q in the path; make them the same", r.Name, c.Param("name"))))
	}
	p, err := h.changer.Apply(c.Request().Context(), r.Profile, pre)
	return h.accept(c, p, err)
}

func (h *handler) retire(c echo.Context) error {
	pre, err := readPreconditions(c)
	if err != nil {
		return h.reject(c, err)
	}
	p, err := h.changer.Retire(c.Request().Context(), c.Param("name"), pre)
	return h.accept(c, p, err)
}

// accept posts an accepted change to the core of this entry, which sends it to the other entries,
// and writes the answer. If err is not nil it rejects the change instead.
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

// reject counts and logs a change that was not accepted, and returns err.
func (h *handler) reject(c echo.Context, err error) error {
	countChange(errorLabel(err))
	h.log.Info("profile-refused", "profile", c.Param("name"), "operator", operatorName(c),
		"from", c.Request().RemoteAddr, "error", err.Error())
	return err
}

func countChange(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cornelwall_profile_changes_total{result=%q}", result)).Inc()
}

// errorLabel returns the metric label of an error's kind.
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

// operatorName returns the operator's name from the request header, without characters that are
// not printable and cut to maxOperatorLen.
func operatorName(c echo.Context) string {
	name := strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return -1
	}, c.Request().Header.Get(HeaderOperator))
	return name[:min(len(name), maxOperatorLen)]
}

// readPreconditions reads the preconditions of a change from the query. Its error joins all
// problems.
func readPreconditions(c echo.Context) (Preconditions, error) {
	errs := []error{web.CheckQuery(c, "expect", "create", "change")}
	pre := Preconditions{ChangeID: c.QueryParam("change")}
	if s := c.QueryParam("expect"); s != "" {
		var err error
		if pre.ExpectVersion, err = strconv.ParseUint(s, 10, 64); err != nil || pre.ExpectVersion == 0 {
			errs = append(errs, fmt.Errorf("expect %q is not a version; use the number that \"profile show\" prints", s))
		}
	}
	if s := c.QueryParam("create"); s != "" {
		var err error
		if pre.Create, err = strconv.ParseBool(s); err != nil {
			errs = append(errs, fmt.Errorf("create %q is not valid; use true or false", s))
		}
	}
	if pre.Create && pre.ExpectVersion != 0 {
		errs = append(errs, errors.New("create and expect are both set; use one"))
	}
	if pre.ChangeID != "" {
		errs = append(errs, cornelwall.CheckName("change", pre.ChangeID))
		if !pre.Create && pre.ExpectVersion == 0 {
			errs = append(errs, errors.New("change is set without expect or create; set one, so that a repeat cannot undo a later change"))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return pre, web.InputError(err)
	}
	return pre, nil
}
