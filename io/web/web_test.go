package web_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/io/web"
)

func TestDecode(t *testing.T) {
	const limit = 200
	e := web.New()
	e.POST("/", func(c echo.Context) error {
		var j cornelwall.Job
		if err := web.Decode(c, &j, limit); err != nil {
			return err
		}
		return c.NoContent(http.StatusNoContent)
	})
	for _, tt := range []struct {
		name, body string
		code       int
		problems   []string
	}{
		{"valid", `{"profile":"holds","tasks":[{}]}`, 204, nil},
		{"two invalid fields", `{"profile":"Holds","left":"5x","tusks":[]}`, 400, []string{
			`left: duration "5x" is not valid`, `tusks: field "tusks" is unknown`, `profile "Holds" contains 'H'`}},
		{"values out of range", `{"profile":"Holds","tasks":[]}`, 400, []string{
			`profile "Holds" contains 'H'`, `tasks has 0 entries; use 1 to 1024`}},
		{"wrong type in a task", `{"profile":"holds","tasks":[{"need":{"cores":"two"}}]}`, 400, []string{
			`string at "tasks.need.cores" does not fit`}},
		{"not JSON", `profile=holds`, 400, []string{`body is not a JSON object`}},
		{"two values", `{"profile":"holds","tasks":[{}]}{}`, 400, []string{`body`}},
		{"too large", `{"profile":"` + strings.Repeat("x", limit) + `"}`, 413, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(tt.body)))
			assert.Equal(t, w.Code, tt.code, w.Body.String())
			if tt.code < 400 {
				return
			}
			var p web.ErrorResponse
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
			assert.Assert(t, p.Error != "")
			assert.Equal(t, len(p.Problems), len(tt.problems), "%q", p.Problems)
			for i, want := range tt.problems {
				assert.Assert(t, strings.Contains(p.Problems[i], want), "%q", p.Problems[i])
			}
		})
	}
}

func TestErrorKinds(t *testing.T) {
	e := web.New()
	kinds := map[string]error{"/conflict": cornelwall.ErrConflict, "/auth": cornelwall.ErrAuth, "/store": cornelwall.ErrStore}
	for path, kind := range kinds {
		e.GET(path, func(echo.Context) error { return kind })
	}
	for path, code := range map[string]int{"/conflict": 409, "/auth": 401, "/store": 503, "/other": 404} {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		assert.Equal(t, w.Code, code)
		assert.Assert(t, strings.Contains(w.Body.String(), `"error"`))
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/auth", nil))
	assert.Equal(t, w.Code, 405)
	assert.Assert(t, strings.Contains(w.Body.String(), "docs/callers.md"))
}
