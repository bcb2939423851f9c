package spokemeasure

import (
	"context"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// Kind is the kind of an error of this package.
type Kind string

// KindUnknownExperiment means that no experiment has the given name.
const KindUnknownExperiment Kind = "unknown_experiment"

// The design size: the numbers of data centres, and of entry instances and
// backend servers in each; the request rate and the requests in flight of one
// entry instance.
const (
	designEntryInstances    = 20
	designServers           = 570
	designRequestsPerSecond = 20.7
	designInFlight          = 325
	designDataCentres       = 21
)

// FittedSeries is a series of measurements with the line fitted to them.
type FittedSeries struct {
	// Quantity is the name of the measured quantity.
	Quantity string `json:"figure"`
	// Variable is the name of the varied parameter.
	Variable string `json:"against"`
	// Points are the measurements.
	Points []Point `json:"points"`
	// Fit is the line fitted to the points.
	Fit LinearFit `json:"fit"`
	// ValueAtDesignSize is the line's value at the design size.
	ValueAtDesignSize float64 `json:"at_design_size"`
}

func fitSeries(quantity, variable string, points []Point, designSize float64) FittedSeries {
	fit := FitLine(points)
	return FittedSeries{Quantity: quantity, Variable: variable, Points: points, Fit: fit, ValueAtDesignSize: fit.ValueAt(designSize)}
}

// MeasureCapacity runs the experiment called only, or all if it is empty, and
// calls emit with each PeerCost, ClaimCost and FittedSeries. It returns an error
// of kind KindUnknownExperiment, or the error of an experiment or of emit.
func MeasureCapacity(ctx context.Context, only string, emit func(any) error) error {
	experiments := []struct {
		name    string
		runFunc func(context.Context, func(any) error) error
	}{
		{"peers", varyEntryInstances},
		{"places", varyDataCentres},
		{"near_design", measureNearDesignSize},
		{"claims", varyClaimRate},
	}
	found := false
	for _, experiment := range experiments {
		if only != "" && only != experiment.name {
			continue
		}
		found = true
		if err := experiment.runFunc(ctx, emit); err != nil {
			return err
		}
	}
	if !found {
		return spokeerror.Newf("measure capacity", KindUnknownExperiment, "%q", only)
	}
	return nil
}

// varyEntryInstances measures one data centre with several numbers of entry
// instances, and then with several request rates.
func varyEntryInstances(ctx context.Context, emit func(any) error) error {
	var sent, cores []Point
	for _, entryInstances := range []int{5, 10, 15, designEntryInstances} {
		cost, err := MeasurePeers(ctx, PeerSize{DataCentres: 1, EntryInstances: entryInstances, Servers: designServers, RequestsPerSecond: designRequestsPerSecond, InFlight: designInFlight})
		if err != nil {
			return err
		}
		if err := emit(cost); err != nil {
			return err
		}
		sent = append(sent, Point{Size: float64(entryInstances), Value: cost.SentKilobytesPerSecond})
		cores = append(cores, Point{Size: float64(entryInstances), Value: cost.CPUCores})
	}
	if err := emit(fitSeries("sent_kilobytes_per_second", "members", sent, designEntryInstances)); err != nil {
		return err
	}
	if err := emit(fitSeries("core", "members", cores, designEntryInstances)); err != nil {
		return err
	}
	var sentByRate []Point
	for _, requestsPerSecond := range []float64{0, designRequestsPerSecond / 2, designRequestsPerSecond, 2 * designRequestsPerSecond} {
		cost, err := MeasurePeers(ctx, PeerSize{DataCentres: 1, EntryInstances: designEntryInstances / 2, Servers: designServers, RequestsPerSecond: requestsPerSecond, InFlight: designInFlight})
		if err != nil {
			return err
		}
		sentByRate = append(sentByRate, Point{Size: requestsPerSecond, Value: cost.SentKilobytesPerSecond})
	}
	return emit(fitSeries("sent_kilobytes_per_second, 10 members", "requests_per_second", sentByRate, designRequestsPerSecond))
}

// varyDataCentres measures several numbers of data centres with three entry
// instances each.
func varyDataCentres(ctx context.Context, emit func(any) error) error {
	var sent, cores []Point
	for _, dataCentres := range []int{3, 7, 14, designDataCentres} {
		cost, err := MeasurePeers(ctx, PeerSize{DataCentres: dataCentres, EntryInstances: 3})
		if err != nil {
			return err
		}
		if err := emit(cost); err != nil {
			return err
		}
		sent = append(sent, Point{Size: float64(dataCentres), Value: cost.SentKilobytesPerSecond})
		cores = append(cores, Point{Size: float64(dataCentres), Value: cost.CPUCores})
	}
	if err := emit(fitSeries("sent_kilobytes_per_second, 3 members each", "data_centres", sent, designDataCentres)); err != nil {
		return err
	}
	return emit(fitSeries("core, 3 members each", "data_centres", cores, designDataCentres))
}

// nearDesignEntryInstances is the number of entry instances in each data centre
// at which the links of all 21 data centres still fit into the file descriptors
// of one process.
const nearDesignEntryInstances = 18

// measureNearDesignSize measures nearly the whole design size in one process.
func measureNearDesignSize(ctx context.Context, emit func(any) error) error {
	cost, err := MeasurePeers(ctx, PeerSize{
		DataCentres: designDataCentres, EntryInstances: nearDesignEntryInstances, Servers: designServers, RequestsPerSecond: designRequestsPerSecond, InFlight: designInFlight,
	})
	if err != nil {
		return err
	}
	return emit(cost)
}

// designClaimsPerSecond is the rate of claims at one entry instance if a tenth
// of all requests are not idempotent.
const designClaimsPerSecond = designRequestsPerSecond / 10

// varyClaimRate measures one entry instance with several rates of claims.
func varyClaimRate(ctx context.Context, emit func(any) error) error {
	var transactions []Point
	for _, claimsPerSecond := range []float64{2, 20, 100, 400, 1000} {
		cost, err := MeasureClaims(ctx, claimsPerSecond)
		if err != nil {
			return err
		}
		if err := emit(cost); err != nil {
			return err
		}
		transactions = append(transactions, Point{Size: claimsPerSecond, Value: cost.TransactionsPerSecond})
	}
	return emit(fitSeries("transactions_per_second, up to 100 claims a second", "claims_per_second", transactions[:3], designClaimsPerSecond))
}
