package operator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"cornelwall"
	"cornelwall/io/web"
)

const (
	maxWait      = time.Minute            // maximum wait of one status request
	pollInterval = 250 * time.Millisecond // between two queries of all entries
)

// Status is the version of a profile that is in force at each known entry.
type Status struct {
	Name    string                     `json:"name"`
	Version uint64                     `json:"version"` // the requested one, or else the highest known
	InForce bool                       `json:"inforce"` // every entry has confirmed Version or a higher one
	Entries []cornelwall.ProfileStatus `json:"force"`
}

// Unconfirmed returns the entries that have not confirmed the version.
func (s *Status) Unconfirmed() []cornelwall.ProfileStatus {
	var unconfirmed []cornelwall.ProfileStatus
	for _, e := range s.Entries {
		if e.Missing || e.Version < s.Version {
			unconfirmed = append(unconfirmed, e)
		}
	}
	return unconfirmed
}

// status answers immediately, or with wait=DURATION as soon as the version is in force at every
// entry, but no later than after that duration.
func (h *handler) status(c echo.Context) error {
	wait, version, err := readStatusQuery(c)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	deadline := time.Now().Add(wait)
	for {
		s, err := h.queryStatus(ctx, c.Param("name"), version)
		if err != nil {
			return err
		}
		left := time.Until(deadline)
		if s.InForce || left <= 0 {
			return c.JSON(http.StatusOK, s)
		}
		if err := cornelwall.Wait(ctx, min(left, pollInterval)); err != nil {
			return err
		}
	}
}

// readStatusQuery reads the query of a status request.
func readStatusQuery(c echo.Context) (wait time.Duration, version uint64, err error) {
	if err := web.CheckQuery(c, "wait", "version"); err != nil {
		return 0, 0, web.InputError(err)
	}
	if s := c.QueryParam("wait"); s != "" {
		wait, err = time.ParseDuration(s)
		if err != nil || wait < 0 || wait > maxWait {
			return 0, 0, web.InputError(fmt.Errorf("wait %q is not valid; use a duration of 0s to %s", s, maxWait))
		}
	}
	if s := c.QueryParam("version"); s != "" {
		if version, err = strconv.ParseUint(s, 10, 64); err != nil {
			return 0, 0, web.InputError(fmt.Errorf("version %q is not a number; use the number that \"profile show\" prints", s))
		}
	}
	return wait, version, nil
}

// queryStatus asks every entry for its version of the profile. It returns an ErrMissing if no
// entry knows the profile.
func (h *handler) queryStatus(ctx context.Context, name string, version uint64) (*Status, error) {
	cmd, err := h.core.Ask(ctx, func(req uint64) cornelwall.Event {
		return cornelwall.FetchProfileStatus{Req: req, Name: name}
	})
	if err != nil {
		return nil, err
	}
	s := &Status{Name: name, Version: version, Entries: cmd.(cornelwall.ReplyProfileStatus).Entries}
	var highest uint64
	for _, e := range s.Entries {
		highest = max(highest, e.Version)
	}
	if highest == 0 {
		return nil, missingError(name)
	}
	if s.Version == 0 {
		s.Version = highest
	}
	s.InForce = len(s.Unconfirmed()) == 0
	return s, nil
}
