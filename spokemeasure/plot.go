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

// KindPlotFailed means that a plot could not be drawn or written.
const KindPlotFailed Kind = "plot"

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 30 // points
	folderMode = 0o755
)

// WritePlots writes the plots of the measurements to PNG files in a folder, which
// it creates if necessary. A plot without measurements is left out. It returns an
// error of kind KindPlotFailed.
func WritePlots(measurements []Measurement, folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return spokeerror.New("plot", KindPlotFailed, err)
	}
	barFigures := map[string]string{
		"head_of_line":   "quick first token p99 with plans, ms",
		"slowed_servers": "whole p99 slowed, ms",
	}
	for experimentName, figureName := range barFigures {
		if err := plotBars(measurements, experimentName, figureName, filepath.Join(folder, experimentName+".png")); err != nil {
			return err
		}
	}
	return plotGoodput(measurements, filepath.Join(folder, "goodput.png"))
}

// plotBars plots the median of one figure as a bar for each variant.
func plotBars(measurements []Measurement, experimentName, figureName, path string) error {
	var values plotter.Values
	var labels []string
	for _, m := range measurements {
		if m.Experiment == experimentName && m.Name == figureName {
			values = append(values, m.Summary.Median)
			labels = append(labels, m.Variant)
		}
	}
	if len(values) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = experimentName
	p.Y.Label.Text = figureName
	p.Y.Min = 0
	barChart, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return spokeerror.New("plot", KindPlotFailed, err)
	}
	p.Add(barChart)
	p.NominalX(labels...)
	return savePlot(p, path)
}

// plotGoodput plots the goodput of the overload variants against the load.
func plotGoodput(measurements []Measurement, path string) error {
	p := plot.New()
	p.Title.Text = "goodput over load"
	p.X.Label.Text = "load over capacity"
	p.Y.Label.Text = "goodput over capacity"
	p.Y.Min = 0
	lineCount := 0
	for i, v := range overloadVariants() {
		points := goodputPoints(measurements, v.name)
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
		lineCount++
	}
	if lineCount == 0 {
		return nil
	}
	return savePlot(p, path)
}

func goodputPoints(measurements []Measurement, variantName string) plotter.XYs {
	loadByFigure := map[string]float64{
		"goodput over capacity at 1.0 times": 1, "goodput over capacity at 1.5 times": 1.5,
		"goodput over capacity at 2.0 times": 2, "goodput over capacity at 4.0 times": 4,
	}
	var points plotter.XYs
	for _, m := range measurements {
		load, isGoodput := loadByFigure[m.Name]
		if m.Variant == variantName && isGoodput {
			points = append(points, plotter.XY{X: load, Y: m.Summary.Median})
		}
	}
	return points
}

func savePlot(p *plot.Plot, path string) error {
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return spokeerror.New("plot", KindPlotFailed, err)
	}
	return nil
}
