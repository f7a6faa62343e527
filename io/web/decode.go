package web

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"
)

// Checker is a value that can validate itself. Check returns an error that joins all problems.
type Checker interface{ Check() error }

// Decode reads a JSON body of at most limit bytes into v and validates it. Unknown fields are
// errors. Unless the body is too large or incomplete, all problems are reported together.
func Decode(c echo.Context, v Checker, limit int64) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, fmt.Sprintf("body is too large; send at most %d bytes", limit))
	case err != nil:
		return InputError(fmt.Errorf("body ended early; send it whole: %w", err))
	}
	if err := unmarshal(body, v); err != nil {
		return InputError(fieldErrors(body, v, err))
	}
	if err := v.Check(); err != nil {
		return InputError(err)
	}
	return nil
}

// CheckQuery returns an error for the query parameters that are not among the known ones, because
// a misspelt parameter would silently change the meaning of the request.
func CheckQuery(c echo.Context, known ...string) error {
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(c.QueryParams())) {
		if !slices.Contains(known, name) {
			errs = append(errs, fmt.Errorf("parameter %q is unknown; use %s", name, strings.Join(known, ", ")))
		}
	}
	return errors.Join(errs...)
}

// unmarshal decodes exactly one JSON value without unknown fields.
func unmarshal(body []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("body has more than one JSON value; send one")
	}
	return nil
}

// fieldErrors decodes each field of a JSON object separately into v. It returns the errors of all
// fields that cannot be decoded and the problems of the others. If every field can be decoded it
// returns err, the error of the whole body.
func fieldErrors(body []byte, v Checker, err error) error {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return fmt.Errorf("body is not a JSON object for this request: %w", err)
	}
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		object, marshalErr := json.Marshal(map[string]json.RawMessage{name: fields[name]})
		if marshalErr != nil {
			return err
		}
		if fieldErr := unmarshal(object, v); fieldErr != nil {
			errs = append(errs, fmt.Errorf("%s: %s", name, describe(fieldErr)))
			delete(fields, name)
		}
	}
	if len(errs) == 0 {
		return err
	}
	return errors.Join(append(errs, checkFields(v, fields))...)
}

// checkFields returns the problems of v that begin with the name of one of the fields. Others may
// be caused by a field that could not be decoded.
func checkFields(v Checker, fields map[string]json.RawMessage) error {
	err := v.Check()
	if err == nil {
		return nil
	}
	var errs []error
	for _, text := range strings.Split(err.Error(), "\n") {
		end := strings.IndexAny(text, " [.")
		if _, ok := fields[text[:max(0, end)]]; ok {
			errs = append(errs, errors.New(text))
		}
	}
	return errors.Join(errs...)
}

// describe returns the text for an error of the JSON library that is shown to the client.
func describe(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf("%s at %q does not fit; use a JSON value of type %s", typeErr.Value, typeErr.Field, typeErr.Type)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return fmt.Sprintf("field %s is unknown; leave it out or correct its name", name)
	}
	return err.Error()
}
