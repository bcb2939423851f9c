package spokemeasure

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// KindPlotFailed says that a plot could not be drawn.
const KindPlotFailed Kind = "plot"

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 30
	folderMode = 0o755
)

// WritePlots draws the figures that have a picture into a folder. It returns an
// error of kind KindPlot.
func WritePlots(figures []Measurement, folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return spokeerror.New("plot", KindPlotFailed, err)
	}
	bars := map[string]string{
		"head_of_line":   "quick first token p99 with plans, ms",
		"slowed_servers": "whole p99 slowed, ms",
	}
	for experiment, name := range bars {
		if err := plotBars(figures, experiment, name, filepath.Join(folder, experiment+".png")); err != nil {
			return err
		}
	}
	return plotGoodput(figures, filepath.Join(folder, "goodput.png"))
}

// plotBars draws one figure of each variant.
func plotBars(figures []Measurement, experiment, name, path string) error {
	var values plotter.Values
	var labels []string
	for _, f := range figures {
		if f.Experiment == experiment && f.Name == name {
			values = append(values, f.Summary.Median)
			labels = append(labels, f.Variant)
		}
	}
	if len(values) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = experiment
	p.Y.Label.Text = name
	p.Y.Min = 0
	chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return spokeerror.New("plot", KindPlotFailed, err)
	}
	p.Add(chart)
	p.NominalX(labels...)
	return save(p, path)
}

// plotGoodput draws the goodput over the load.
func plotGoodput(figures []Measurement, path string) error {
	p := plot.New()
	p.Title.Text = "goodput over load"
	p.X.Label.Text = "load over capacity"
	p.Y.Label.Text = "goodput over capacity"
	p.Y.Min = 0
	drawn := 0
	for i, v := range overloadVariants() {
		points := goodputOf(figures, v.name)
		if len(points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return spokeerror.New("plot", KindPlotFailed, err)
		}
		line.Color = plotutil.Color(i)
		dots.Color = plotutil.Color(i)
		p.Add(line, dots)
		p.Legend.Add(v.name, line, dots)
		drawn++
	}
	if drawn == 0 {
		return nil
	}
	return save(p, path)
}

func goodputOf(figures []Measurement, variant string) plotter.XYs {
	loads := map[string]float64{
		"goodput over capacity at 1.0 times": 1, "goodput over capacity at 1.5 times": 1.5,
		"goodput over capacity at 2.0 times": 2, "goodput over capacity at 4.0 times": 4,
	}
	var points plotter.XYs
	for _, f := range figures {
		load, known := loads[f.Name]
		if f.Variant == variant && known {
			points = append(points, plotter.XY{X: load, Y: f.Summary.Median})
		}
	}
	return points
}

func save(p *plot.Plot, path string) error {
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return spokeerror.New("plot", KindPlotFailed, err)
	}
	return nil
}
