// Package web is shared by the HTTP APIs of callers and operators. It decodes JSON bodies
// strictly and up to a size limit, and answers an invalid request with an ErrorResponse that
// lists all of its problems.
//
// # Usage
//
//	e := web.New()
//	e.POST("/v1/jobs", func(c echo.Context) error {
//		var j cornelwall.Job
//		if err := web.Decode(c, &j, maxBody); err != nil {
//			return err
//		}
//		...
//	})
package web

import "github.com/labstack/echo/v4"

// New returns an echo instance that answers errors with WriteError.
func New() *echo.Echo {
	e := echo.New()
	e.HTTPErrorHandler = WriteError
	return e
}
