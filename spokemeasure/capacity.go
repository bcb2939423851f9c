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

// Slope is a fitted line with its points.
type Slope struct {
	// Figure names what was measured.
	Figure string `json:"figure"`
	// Against names what was varied.
	Against string `json:"against"`
	// Points are the measurements.
	Points []Point `json:"points"`
	// Fit is the line through them.
	Fit Fit `json:"fit"`
	// Design is the line's value at the design size.
	Design float64 `json:"at_design_size"`
}

func slope(figure, against string, points []Point, design float64) Slope {
	fit := FitLine(points)
	return Slope{Figure: figure, Against: against, Points: points, Fit: fit, Design: fit.At(design)}
}

// Capacity carries out one experiment, or all, and hands each figure on.
func Capacity(ctx context.Context, only string, emit func(any) error) error {
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
		cost, err := MeasurePeers(ctx, PeerSize{Places: 1, Members: members, Servers: designServers, Rate: designRate, Streams: designStreams})
		if err != nil {
			return err
		}
		if err := emit(cost); err != nil {
			return err
		}
		sent = append(sent, Point{Size: float64(members), Value: cost.Sent})
		core = append(core, Point{Size: float64(members), Value: cost.Core})
	}
	if err := emit(slope("sent_kilobytes_per_second", "members", sent, designMembers)); err != nil {
		return err
	}
	if err := emit(slope("core", "members", core, designMembers)); err != nil {
		return err
	}
	var byRate []Point
	for _, rate := range []float64{0, designRate / 2, designRate, 2 * designRate} {
		cost, err := MeasurePeers(ctx, PeerSize{Places: 1, Members: designMembers / 2, Servers: designServers, Rate: rate, Streams: designStreams})
		if err != nil {
			return err
		}
		byRate = append(byRate, Point{Size: rate, Value: cost.Sent})
	}
	return emit(slope("sent_kilobytes_per_second, 10 members", "requests_per_second", byRate, designRate))
}

// places varies the number of data centres.
func places(ctx context.Context, emit func(any) error) error {
	var sent, core []Point
	for _, count := range []int{3, 7, 14, designPlaces} {
		cost, err := MeasurePeers(ctx, PeerSize{Places: count, Members: 3})
		if err != nil {
			return err
		}
		if err := emit(cost); err != nil {
			return err
		}
		sent = append(sent, Point{Size: float64(count), Value: cost.Sent})
		core = append(core, Point{Size: float64(count), Value: cost.Core})
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
		Places: designPlaces, Members: nearDesignMembers, Servers: designServers, Rate: designRate, Streams: designStreams,
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
		perSecond = append(perSecond, Point{Size: rate, Value: cost.PerSecond})
	}
	return emit(slope("transactions_per_second, up to 100 claims a second", "claims_per_second", perSecond[:3], designClaims))
}
