// Package web is what the HTTP APIs of callers and operators have in common: they read
// JSON bodies strictly, within a limit, and answer a request that is wrong in itself with
// a Problem that lists everything that is wrong with it.
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

// New returns an echo instance that answers errors with a Problem.
func New() *echo.Echo {
	e := echo.New()
	e.HTTPErrorHandler = WriteError
	return e
}
