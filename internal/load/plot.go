package load

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// maxPlotPercentile ends the curve before the slowest jobs, since a single
	// outlier would stretch the axis and flatten all curves.
	maxPlotPercentile = 99.9
)

// WritePlot draws the cumulative distribution of response time over ideal
// response time for every run. The extension of path selects the format, .svg
// or .png.
func (r Report) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = "Response time over ideal"
	p.X.Label.Text = "response / ideal"
	p.Y.Label.Text = "share of jobs"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = false
	for i, res := range r.Results {
		if points := res.cdfPoints(); len(points) > 0 {
			line, err := plotter.NewLine(points)
			if err != nil {
				return err
			}
			line.Color = plotutil.Color(i)
			line.Dashes = plotutil.Dashes(i)
			p.Add(line)
			p.Legend.Add(res.Name, line)
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

// cdfPoints returns the cumulative distribution of the run's ratios in steps of
// half a percentile.
func (r *Result) cdfPoints() plotter.XYs {
	if r.ratios == nil || r.ratios.TotalCount() == 0 {
		return nil
	}
	var points plotter.XYs
	for q := 0.5; q <= maxPlotPercentile; q += 0.5 {
		points = append(points, plotter.XY{X: max(float64(r.ratios.ValueAtQuantile(q))/ratioScale, 0.1), Y: q / 100})
	}
	return points
}
