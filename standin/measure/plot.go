package measure

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plots writes two SVG files per site into the directory: the ratio of the mean response to
// the ideal, and the wasted messages, both over the load. Each policy is a line, with error
// bars for the range over the seeds.
func Plots(dir string, rs []Result) error {
	sites := map[string]bool{}
	for i := range rs {
		sites[rs[i].Site] = true
	}
	for site := range sites {
		err := drawLoads(filepath.Join(dir, site+"-response.svg"), site+": mean response to the ideal dispatcher",
			"ratio", rs, site, (*Result).Ratio)
		if err != nil {
			return err
		}
		err = drawLoads(filepath.Join(dir, site+"-waste.svg"), site+": wasted messages of task messages",
			"percent", rs, site, func(r *Result) float64 { return 100 * r.WastePerTask() })
		if err != nil {
			return err
		}
	}
	return nil
}

// series is the points of one policy with their error bars.
type series struct {
	plotter.XYs
	plotter.YErrors
}

// drawLoads plots the figure f over the load, with one series per policy.
func drawLoads(path, title, unit string, rs []Result, site string, f func(*Result) float64) error {
	byPolicy := map[string]*series{}
	var names []string
	for _, g := range groupResults(rs) {
		if g.first.Site != site || g.first.Case.Name != "load" {
			continue
		}
		s := byPolicy[g.first.Policy]
		if s == nil {
			s = &series{}
			byPolicy[g.first.Policy] = s
			names = append(names, g.first.Policy)
		}
		mean, low, high := g.meanAndRange(f)
		s.XYs = append(s.XYs, plotter.XY{X: 100 * g.first.Case.Load, Y: mean})
		s.YErrors = append(s.YErrors, struct{ Low, High float64 }{mean - low, high - mean})
	}
	if len(names) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "load, percent of slots", unit
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, name := range names {
		if err := addSeries(p, i, name, byPolicy[name]); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

func addSeries(p *plot.Plot, i int, name string, s *series) error {
	line, points, err := plotter.NewLinePoints(s.XYs)
	if err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(s)
	if err != nil {
		return err
	}
	line.Color, points.Color, bars.Color = plotutil.Color(i), plotutil.Color(i), plotutil.Color(i)
	points.Shape = plotutil.Shape(i)
	p.Add(line, points, bars)
	p.Legend.Add(name, line, points)
	return nil
}
