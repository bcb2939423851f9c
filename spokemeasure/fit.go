package spokemeasure

import (
	"math"
	"slices"
)

// Point is a measured figure at a size.
type Point struct {
	// Size is what was varied.
	Size float64 `json:"size"`
	// Value is what was measured.
	Value float64 `json:"value"`
}

// Fit is a straight line through points.
type Fit struct {
	// Slope is the growth of the value with the size.
	Slope float64 `json:"slope"`
	// Base is the value at size zero.
	Base float64 `json:"base"`
	// Residual is the greatest distance of a point from the line, as a part of
	// the greatest value.
	Residual float64 `json:"residual"`
}

// FitLine returns the least squares line through the points. It panics with
// fewer than two.
func FitLine(points []Point) Fit {
	if len(points) < 2 {
		panic("spokemeasure: a line needs two points")
	}
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	n := float64(len(points))
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	fit := Fit{Slope: slope, Base: (sumY - slope*sumX) / n}
	largest := 0.0
	for _, p := range points {
		largest = max(largest, math.Abs(p.Value))
		fit.Residual = max(fit.Residual, math.Abs(p.Value-fit.At(p.Size)))
	}
	if largest > 0 {
		fit.Residual /= largest
	}
	return fit
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 {
	return f.Base + f.Slope*size
}

// Spread is a figure over several seeds.
type Spread struct {
	// Median is the middle one.
	Median float64 `json:"median"`
	// Least is the least.
	Least float64 `json:"least"`
	// Greatest is the greatest.
	Greatest float64 `json:"greatest"`
}

// SpreadOf returns the spread of some values. It panics without any.
func SpreadOf(values []float64) Spread {
	sorted := slices.Sorted(slices.Values(values))
	return Spread{Median: sorted[len(sorted)/2], Least: sorted[0], Greatest: sorted[len(sorted)-1]}
}
