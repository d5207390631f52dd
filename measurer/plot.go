package measurer

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes a PNG file for each series of a result to the folder, which it
// creates if needed.
func Plot(folder string, r Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "create folder for plots")
	}
	for _, series := range r.Series {
		path := filepath.Join(folder, r.Measure+"_"+series.Name+".png")
		if err := plotSeries(path, r.Measure, series); err != nil {
			return errors.Wrapf(err, "plot %s", path)
		}
	}
	return nil
}

func plotSeries(path, title string, series Series) error {
	p := plot.New()
	p.Title.Text = title + ": " + series.Name
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = series.Unit
	p.Y.Min = 0
	points := make(plotter.XYs, len(series.Points))
	for i, point := range series.Points {
		points[i].X, points[i].Y = point.At.Seconds(), point.Value
	}
	if err := plotutil.AddLines(p, points); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
