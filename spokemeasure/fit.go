package spokemeasure

import (
	"math"
	"slices"
)

// Point is a measured value at one value of the varied parameter.
type Point struct {
	// Size is the varied parameter.
	Size float64 `json:"size"`
	// Value is the measured value.
	Value float64 `json:"value"`
}

// LinearFit is a straight line fitted to points.
type LinearFit struct {
	// Slope is the increase of the value per unit of the size.
	Slope float64 `json:"slope"`
	// Intercept is the line's value at size zero.
	Intercept float64 `json:"base"`
	// MaxRelativeResidual is the largest absolute residual of a point, divided by
	// the largest absolute value.
	MaxRelativeResidual float64 `json:"residual"`
}

// FitLine returns the least squares line through the points. It panics if there
// are fewer than two.
func FitLine(points []Point) LinearFit {
	if len(points) < 2 {
		panic("spokemeasure: fitting a line takes at least two points")
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
	maxValue := 0.0
	for _, p := range points {
		maxValue = max(maxValue, math.Abs(p.Value))
		fit.MaxRelativeResidual = max(fit.MaxRelativeResidual, math.Abs(p.Value-fit.ValueAt(p.Size)))
	}
	if maxValue > 0 {
		fit.MaxRelativeResidual /= maxValue
	}
	return fit
}

// ValueAt returns the line's value at a size.
func (f LinearFit) ValueAt(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// SeedSummary summarises one figure over the runs with several seeds.
type SeedSummary struct {
	// Median is the median, or the upper of the two middle values.
	Median float64 `json:"median"`
	// Min is the smallest value.
	Min float64 `json:"least"`
	// Max is the largest value.
	Max float64 `json:"greatest"`
}

// Summarise returns the summary of the values. It panics if there are none.
func Summarise(values []float64) SeedSummary {
	sorted := slices.Sorted(slices.Values(values))
	return SeedSummary{Median: sorted[len(sorted)/2], Min: sorted[0], Max: sorted[len(sorted)-1]}
}
