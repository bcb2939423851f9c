package spokefleet

import (
	"context"
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokelease"
)

// Kind classifies the errors of this package.
type Kind string

// KindNoCapacity means that the platform has no instance of the ordered kind in
// the data centre.
const KindNoCapacity Kind = "none_to_be_had"

const (
	// assumedUtilisation is the assumed utilisation of the initial instances, until
	// their work has been measured.
	assumedUtilisation = 0.5
	// reorderDelay is the time, after the instances should have booted, until an
	// unfulfilled order is repeated.
	reorderDelay = 2 * spokeclock.Second
	// failedOrderRetryDelay is the time until a failed order is repeated.
	failedOrderRetryDelay = 1500 * spokeclock.Millis(1)
	// unavailableAfterFailure is the time after a failed order for which a data
	// centre is considered to have no reclaimable instances.
	unavailableAfterFailure = 2 * failedOrderRetryDelay
	// peakRetention is the time for which the peak of the work is planned for, so
	// that variations in demand don't cause instances to be ordered and released.
	peakRetention = 25 * spokeclock.Second
	// onDemandRetention is the time for which on-demand instances are kept after
	// they were needed. It is shorter than peakRetention, as they cost more.
	onDemandRetention = 4 * spokeclock.Second
	// measurementPeriod is the time from the first work until its measured rate is
	// reliable.
	measurementPeriod = 6 * spokeclock.Second
)

// InstanceOrder identifies the instances of one kind in one data centre whose
// number is ordered.
type InstanceOrder struct {
	// Service is the name of the service.
	Service string
	// DataCentre is the data centre to run them in.
	DataCentre string
	// Reclaimable requests reclaimable instances, which are cheaper.
	Reclaimable bool
}

// Autoscaler orders the desired number of instances of the services that have
// scaling settings, while it holds the lease. Set its fields before Run.
type Autoscaler struct {
	// Lease must be held to order instances.
	Lease *spokelease.Lease
	// Registry provides the instances.
	Registry *spokebackend.Registry
	// Store provides the configuration.
	Store *spokeconfig.Store
	// Demand provides the measured work.
	Demand *Demand
	// OrderFunc orders a number of instances with a fencing number. It returns an
	// error of kind KindNoCapacity if the platform has none.
	OrderFunc func(ctx context.Context, fence spokelease.FencingNumber, order InstanceOrder, count int) error
	// CarriesTrafficFunc reports whether servers of a software version take their part of a
	// service's traffic. Others are no capacity, and no reason to release any: an operator
	// starts the servers of a rollout beside those that serve. Nil means that all do.
	CarriesTrafficFunc func(service, softwareVersion string) bool
	// Clock is the time source. Nil means the real clock.
	Clock *spokeclock.Clock
	// Log receives the log messages.
	Log zerolog.Logger

	fence          spokelease.FencingNumber
	lastOrders     map[InstanceOrder]orderedCount
	neededOnDemand map[InstanceOrder]orderedCount
	// The maps below are by service. initialOnDemand is the largest number of
	// on-demand instances before any work was measured, peakWork a number of busy
	// servers.
	initialOnDemand map[string]int
	firstWorkAt     map[string]spokeclock.Millis
	peakWork        map[string]float64
	peakExpiresAt   map[string]spokeclock.Millis
}

// orderedCount is a number of instances and the time when it was ordered or needed.
type orderedCount struct {
	count int
	at    spokeclock.Millis
	// failed reports whether the order was refused or had no response.
	failed bool
}

// Run orders instances periodically until ctx is done.
func (a *Autoscaler) Run(ctx context.Context) {
	spokeclock.Every(ctx, planInterval, func() { a.tick(ctx) })
}

func (a *Autoscaler) tick(ctx context.Context) {
	snapshot := a.Store.Current()
	if snapshot == nil {
		return
	}
	a.initMaps()
	declaration := snapshot.Declaration()
	for i := range declaration.Services {
		service := &declaration.Services[i]
		if service.Scaling == nil {
			continue
		}
		dataCentres, current := a.countInstances(service)
		// The peak is tracked without the lease as well, so that it is known when
		// this instance takes the lease over.
		work := a.plannedWork(service.Name, current)
		fence, held := a.Lease.Held()
		if !held || len(dataCentres) == 0 {
			continue
		}
		if fence != a.fence {
			// Another holder may have placed orders in the meantime.
			a.fence = fence
			a.lastOrders = make(map[InstanceOrder]orderedCount)
		}
		a.markUnavailable(service.Name, dataCentres, current)
		bounds := InstanceBounds{Min: service.Scaling.MinInstances, Max: service.Scaling.MaxInstances}
		targets := ComputeTargets(work, current, bounds, service.Scaling.ReclaimablePriceRatio > 0)
		a.keepInitial(service.Name, current, targets)
		a.keepOnDemand(service.Name, dataCentres, targets)
		for j, dataCentre := range dataCentres {
			a.placeOrder(ctx, service, dataCentre, true, targets[j].Reclaimable, current[j].Reclaimable)
			a.placeOrder(ctx, service, dataCentre, false, targets[j].OnDemand, current[j].OnDemand)
		}
	}
}

// markUnavailable marks the data centres where a recent order of reclaimable
// instances failed.
func (a *Autoscaler) markUnavailable(service string, dataCentres []string, current []CurrentInstances) {
	for i, dataCentre := range dataCentres {
		last, ordered := a.lastOrders[InstanceOrder{Service: service, DataCentre: dataCentre, Reclaimable: true}]
		current[i].ReclaimableUnavailable = ordered && last.failed && a.Clock.Now()-last.at < unavailableAfterFailure
	}
}

func (a *Autoscaler) initMaps() {
	if a.lastOrders == nil {
		a.lastOrders = make(map[InstanceOrder]orderedCount)
		a.neededOnDemand = make(map[InstanceOrder]orderedCount)
		a.initialOnDemand = make(map[string]int)
		a.firstWorkAt = make(map[string]spokeclock.Millis)
		a.peakWork = make(map[string]float64)
		a.peakExpiresAt = make(map[string]spokeclock.Millis)
	}
}

// countInstances counts the instances that accept requests, by data centre. It
// returns only data centres with a price, as instances can be ordered only there.
func (a *Autoscaler) countInstances(service *spokeconfig.Service) ([]string, []CurrentInstances) {
	dataCentres := slices.Sorted(maps.Keys(service.Scaling.Prices))
	current := make([]CurrentInstances, len(dataCentres))
	for _, server := range a.Registry.Servers() {
		instance := server.Instance()
		index, found := slices.BinarySearch(dataCentres, instance.DataCentre)
		if instance.Service != service.Name || !found || server.Candidate().Draining || !a.carriesTraffic(instance) {
			continue
		}
		if instance.Reclaimable {
			current[index].Reclaimable++
		} else {
			current[index].OnDemand++
		}
	}
	return dataCentres, current
}

func (a *Autoscaler) carriesTraffic(instance spokecloud.Instance) bool {
	return a.CarriesTrafficFunc == nil || a.CarriesTrafficFunc(instance.Service, instance.SoftwareVersion)
}

// plannedWork returns the number of busy servers to plan for. Until enough work has
// been measured, it is at least the assumed work of the initial instances. Later it
// is the recent peak.
func (a *Autoscaler) plannedWork(service string, current []CurrentInstances) float64 {
	now := a.Clock.Now()
	measured := a.Demand.BusyServers(service)
	if measured > 0 && a.firstWorkAt[service] == 0 {
		a.firstWorkAt[service] = now
	}
	if a.firstWorkAt[service] == 0 {
		a.initialOnDemand[service] = max(a.initialOnDemand[service], totalOnDemand(current))
	}
	if a.firstWorkAt[service] == 0 || now-a.firstWorkAt[service] < measurementPeriod {
		a.peakExpiresAt[service] = now + peakRetention
		a.peakWork[service] = max(a.peakWork[service], measured, assumedUtilisation*float64(a.initialOnDemand[service]))
	}
	if measured >= a.peakWork[service] || now >= a.peakExpiresAt[service] {
		a.peakWork[service] = measured
		a.peakExpiresAt[service] = now + peakRetention
	}
	return a.peakWork[service]
}

func totalOnDemand(current []CurrentInstances) int {
	count := 0
	for _, counts := range current {
		count += counts.OnDemand
	}
	return count
}

// keepInitial keeps the initial on-demand instances until work has been measured
// or as many reclaimable instances have replaced them.
func (a *Autoscaler) keepInitial(service string, current []CurrentInstances, targets []TargetInstances) {
	serving := 0
	for _, counts := range current {
		serving += counts.Reclaimable
	}
	if a.firstWorkAt[service] != 0 || serving >= a.initialOnDemand[service] {
		return
	}
	for i := range targets {
		targets[i].OnDemand = max(targets[i].OnDemand, current[i].OnDemand)
	}
}

// keepOnDemand keeps on-demand instances for some time after they were needed, so
// that they are not released and ordered again.
func (a *Autoscaler) keepOnDemand(service string, dataCentres []string, targets []TargetInstances) {
	now := a.Clock.Now()
	for i, dataCentre := range dataCentres {
		key := InstanceOrder{Service: service, DataCentre: dataCentre}
		last := a.neededOnDemand[key]
		if targets[i].OnDemand >= last.count || now-last.at > onDemandRetention {
			a.neededOnDemand[key] = orderedCount{count: targets[i].OnDemand, at: now}
			continue
		}
		targets[i].OnDemand = last.count
	}
}

// placeOrder orders a number of instances, unless that many run without an order,
// or the last order is fulfilled, can still be fulfilled, or has failed too
// recently to be repeated.
func (a *Autoscaler) placeOrder(ctx context.Context, service *spokeconfig.Service, dataCentre string, reclaimable bool, count, running int) {
	key := InstanceOrder{Service: service.Name, DataCentre: dataCentre, Reclaimable: reclaimable}
	last, ordered := a.lastOrders[key]
	now := a.Clock.Now()
	if a.canSkipOrder(service, last, ordered, count, running, now) {
		return
	}
	fence, held := a.Lease.Held()
	if !held || fence != a.fence {
		return
	}
	err := a.OrderFunc(ctx, fence, key, count)
	a.lastOrders[key] = orderedCount{count: count, at: now, failed: err != nil}
	a.Log.Info().Str("service", service.Name).Str("data_centre", dataCentre).Bool("reclaimable", reclaimable).Int("count", count).
		Int("have", running).Float64("work", a.peakWork[service.Name]).Int64("fence", int64(fence)).Err(err).Msg("Order of instances sent.")
}

func (a *Autoscaler) canSkipOrder(service *spokeconfig.Service, last orderedCount, ordered bool, count, running int, now spokeclock.Millis) bool {
	switch {
	case !ordered:
		return count == running
	case last.failed:
		return now-last.at < failedOrderRetryDelay
	case last.count != count:
		return false
	default:
		return running >= count || now-last.at < service.Scaling.BootTime+reorderDelay
	}
}
