package cornelwall

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-logr/logr"
	_ "github.com/goccy/go-yaml"
	_ "github.com/labstack/echo/v4"
	_ "github.com/oklog/run"
	_ "github.com/urfave/cli/v3"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
