package spokefleet

import "math"

const (
	// targetUtilisation is the fraction of time that servers can be busy while the
	// first token and the gaps between tokens still meet their targets.
	targetUtilisation = 0.55
	// maxUtilisation is the fraction of time that servers may be busy until
	// replacements have booted.
	maxUtilisation = 0.75
	// toleratedLosses is the number of data centres that may lose their reclaimable
	// instances at once. A second reclaim wave can come before the instances lost
	// in the first are replaced.
	toleratedLosses = 2
)

// CurrentInstances counts the instances of a service in one data centre.
type CurrentInstances struct {
	// Reclaimable and OnDemand are the numbers of instances that accept requests.
	Reclaimable int
	OnDemand    int
	// ReclaimableUnavailable reports whether a recent order of reclaimable
	// instances failed.
	ReclaimableUnavailable bool
}

// TargetInstances is the desired number of instances of a service in one data
// centre.
type TargetInstances struct {
	// Reclaimable and OnDemand are the desired numbers of instances.
	Reclaimable int
	OnDemand    int
}

// InstanceBounds are the minimum and the maximum number of instances in each data
// centre.
type InstanceBounds struct {
	Min int
	Max int
}

// ComputeTargets returns the desired instances of each data centre so that the
// work, in busy servers, is done at the lowest cost. It plans enough reclaimable
// instances for the data centres that remain after the tolerated losses. On-demand
// instances are added only for the capacity that is missing now. If reclaimable is
// false, it plans on-demand instances only.
func ComputeTargets(work float64, current []CurrentInstances, bounds InstanceBounds, reclaimable bool) []TargetInstances {
	count := len(current)
	targets := make([]TargetInstances, count)
	perDataCentre := reclaimablePerDataCentre(work, count, bounds)
	if !reclaimable {
		perDataCentre = 0
	}
	for i, counts := range current {
		targets[i].Reclaimable = reclaimableTarget(counts, perDataCentre, bounds)
	}
	addOnDemand(work, current, targets, bounds)
	return targets
}

// reclaimablePerDataCentre returns the number of reclaimable instances to plan in
// each data centre.
func reclaimablePerDataCentre(work float64, dataCentres int, bounds InstanceBounds) int {
	remaining := max(1, dataCentres-toleratedLosses)
	steady := work / targetUtilisation / float64(dataCentres)
	afterLosses := work / maxUtilisation / float64(remaining)
	return min(bounds.Max, max(bounds.Min, int(math.Ceil(max(steady, afterLosses)))))
}

// reclaimableTarget returns the number of reclaimable instances to order in one
// data centre. If none were available recently, it orders only one more, to find
// out when they are available again. On-demand instances count towards the maximum
// until reclaimable instances replace them.
func reclaimableTarget(current CurrentInstances, planned int, bounds InstanceBounds) int {
	if current.ReclaimableUnavailable {
		planned = min(planned, current.Reclaimable+1)
	}
	return max(min(planned, current.Reclaimable), min(planned, bounds.Max-current.OnDemand))
}

// addOnDemand adds on-demand instances until the work can be done after the next
// loss of a data centre's reclaimable instances.
func addOnDemand(work float64, current []CurrentInstances, targets []TargetInstances, bounds InstanceBounds) {
	remaining, largest := 0, 0
	for i, counts := range current {
		serving := min(counts.Reclaimable, targets[i].Reclaimable)
		remaining += serving
		largest = max(largest, serving)
	}
	if len(current) > 1 {
		remaining -= largest
	}
	missing := int(math.Ceil(work/maxUtilisation)) - remaining
	for added := true; missing > 0 && added; {
		added = false
		for i := range current {
			if missing > 0 && targets[i].OnDemand+targets[i].Reclaimable < bounds.Max {
				targets[i].OnDemand++
				missing--
				added = true
			}
		}
	}
	for i, counts := range current {
		if targets[i].OnDemand == 0 && counts.Reclaimable == 0 && targets[i].Reclaimable < bounds.Min {
			targets[i].OnDemand = bounds.Min - targets[i].Reclaimable
		}
	}
}
