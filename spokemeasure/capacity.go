package spokemeasure

import (
	"context"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// Kind is the kind of an error of this package.
type Kind string

// KindUnknownExperiment says that there is no such experiment.
const KindUnknownExperiment Kind = "unknown_experiment"

// The load of one entry instance and its data centre in the design size.
const (
	designMembers = 20
	designServers = 570
	designRate    = 20.7
	designStreams = 325
	designPlaces  = 21
)

// FittedSeries is a fitted line with its points.
type FittedSeries struct {
	// Quantity names what was measured.
	Quantity string `json:"figure"`
	// Variable names what was varied.
	Variable string `json:"against"`
	// Points are the measurements.
	Points []Point `json:"points"`
	// Fit is the line through them.
	Fit LinearFit `json:"fit"`
	// ValueAtDesignSize is the line's value at the design size.
	ValueAtDesignSize float64 `json:"at_design_size"`
}

func slope(figure, against string, points []Point, design float64) FittedSeries {
	fit := FitLine(points)
	return FittedSeries{Quantity: figure, Variable: against, Points: points, Fit: fit, ValueAtDesignSize: fit.ValueAt(design)}
}

// MeasureCapacity carries out one experiment, or all, and hands each figure on.
func MeasureCapacity(ctx context.Context, only string, emit func(any) error) error {
	experiments := []struct {
		name string
		run  func(context.Context, func(any) error) error
	}{
		{"peers", peers},
		{"places", places},
		{"near_design", nearDesign},
		{"claims", claims},
	}
	found := false
	for _, experiment := range experiments {
		if only != "" && only != experiment.name {
			continue
		}
		found = true
		if err := experiment.run(ctx, emit); err != nil {
			return err
		}
	}
	if !found {
		return spokeerror.Newf("measure capacity", KindUnknownExperiment, "%q", only)
	}
	return nil
}

// peers varies the members, the servers and the rate of one data centre.
func peers(ctx context.Context, emit func(any) error) error {
	var sent, core []Point
	for _, members := range []int{5, 10, 15, designMembers} {
		cost, err := MeasurePeers(ctx, PeerSize{DataCentres: 1, EntryInstances: members, Servers: designServers, RequestsPerSecond: designRate, InFlight: designStreams})
		if err != nil {
			return err
		}
		if err := emit(cost); err != nil {
			return err
		}
		sent = append(sent, Point{Size: float64(members), Value: cost.SentKilobytesPerSecond})
		core = append(core, Point{Size: float64(members), Value: cost.CPUCores})
	}
	if err := emit(slope("sent_kilobytes_per_second", "members", sent, designMembers)); err != nil {
		return err
	}
	if err := emit(slope("core", "members", core, designMembers)); err != nil {
		return err
	}
	var byRate []Point
	for _, rate := range []float64{0, designRate / 2, designRate, 2 * designRate} {
		cost, err := MeasurePeers(ctx, PeerSize{DataCentres: 1, EntryInstances: designMembers / 2, Servers: designServers, RequestsPerSecond: rate, InFlight: designStreams})
		if err != nil {
			return err
		}
		byRate = append(byRate, Point{Size: rate, Value: cost.SentKilobytesPerSecond})
	}
	return emit(slope("sent_kilobytes_per_second, 10 members", "requests_per_second", byRate, designRate))
}

// places varies the number of data centres.
func places(ctx context.Context, emit func(any) error) error {
	var sent, core []Point
	for _, count := range []int{3, 7, 14, designPlaces} {
		cost, err := MeasurePeers(ctx, PeerSize{DataCentres: count, EntryInstances: 3})
		if err != nil {
			return err
		}
		if err := emit(cost); err != nil {
			return err
		}
		sent = append(sent, Point{Size: float64(count), Value: cost.SentKilobytesPerSecond})
		core = append(core, Point{Size: float64(count), Value: cost.CPUCores})
	}
	if err := emit(slope("sent_kilobytes_per_second, 3 members each", "data_centres", sent, designPlaces)); err != nil {
		return err
	}
	return emit(slope("core, 3 members each", "data_centres", core, designPlaces))
}

// nearDesignMembers is the number of members of each data centre at which all
// links of 21 data centres still fit into one process's file descriptors.
const nearDesignMembers = 18

// nearDesign runs the membership of nearly the whole design size at once.
func nearDesign(ctx context.Context, emit func(any) error) error {
	cost, err := MeasurePeers(ctx, PeerSize{
		DataCentres: designPlaces, EntryInstances: nearDesignMembers, Servers: designServers, RequestsPerSecond: designRate, InFlight: designStreams,
	})
	if err != nil {
		return err
	}
	return emit(cost)
}

// designClaims is the claims for each second at one entry instance, taking a
// tenth of all requests as not idempotent.
const designClaims = designRate / 10

// claims varies the rate of claims at one entry instance.
func claims(ctx context.Context, emit func(any) error) error {
	var perSecond []Point
	for _, rate := range []float64{2, 20, 100, 400, 1000} {
		cost, err := MeasureClaims(ctx, rate)
		if err != nil {
			return err
		}
		if err := emit(cost); err != nil {
			return err
		}
		perSecond = append(perSecond, Point{Size: rate, Value: cost.TransactionsPerSecond})
	}
	return emit(slope("transactions_per_second, up to 100 claims a second", "claims_per_second", perSecond[:3], designClaims))
}
