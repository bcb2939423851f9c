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

// LinearFit is a straight line through points.
type LinearFit struct {
	// Slope is the growth of the value with the size.
	Slope float64 `json:"slope"`
	// Intercept is the value at size zero.
	Intercept float64 `json:"base"`
	// MaxRelativeResidual is the greatest distance of a point from the line, as a part of
	// the greatest value.
	MaxRelativeResidual float64 `json:"residual"`
}

// FitLine returns the least squares line through the points. It panics with
// fewer than two.
func FitLine(points []Point) LinearFit {
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
	fit := LinearFit{Slope: slope, Intercept: (sumY - slope*sumX) / n}
	largest := 0.0
	for _, p := range points {
		largest = max(largest, math.Abs(p.Value))
		fit.MaxRelativeResidual = max(fit.MaxRelativeResidual, math.Abs(p.Value-fit.ValueAt(p.Size)))
	}
	if largest > 0 {
		fit.MaxRelativeResidual /= largest
	}
	return fit
}

// ValueAt returns the line's value at a size.
func (f LinearFit) ValueAt(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// SeedSummary is a figure over several seeds.
type SeedSummary struct {
	// Median is the middle one.
	Median float64 `json:"median"`
	// Min is the least.
	Min float64 `json:"least"`
	// Max is the greatest.
	Max float64 `json:"greatest"`
}

// Summarise returns the spread of some values. It panics without any.
func Summarise(values []float64) SeedSummary {
	sorted := slices.Sorted(slices.Values(values))
	return SeedSummary{Median: sorted[len(sorted)/2], Min: sorted[0], Max: sorted[len(sorted)-1]}
}
