package spokefleet

import (
	"cmp"
	"math"
	"slices"
)

const (
	// capacityRatio is the ratio of capacity to demand at which requests seldom
	// wait.
	capacityRatio = 1.25
	// remainingCapacityRatio is the ratio of capacity to demand that must remain
	// when the data centre with the most reclaimable instances loses all of them.
	remainingCapacityRatio = 1.0
	// maxStartsPerPlan limits the number of starts in one plan.
	maxStartsPerPlan = 8
)

// InstanceOption is a kind of instance that can be started.
type InstanceOption struct {
	// DataCentre is the data centre to run it in.
	DataCentre string
	// MachineClass is the machine class.
	MachineClass string
	// Reclaimable reports whether the platform may reclaim it.
	Reclaimable bool
	// Price is the cost per hour.
	Price float64
	// RecentlyRefused reports whether a recent start of this kind was refused.
	RecentlyRefused bool
}

// RunningInstance is an instance that runs or is being started.
type RunningInstance struct {
	// Name is the name of the instance.
	Name string
	// DataCentre is the data centre that it runs in.
	DataCentre string
	// Reclaimable reports whether the platform may reclaim it.
	Reclaimable bool
	// Price is the cost per hour.
	Price float64
}

// CapacityRequirement is the capacity that a service needs.
type CapacityRequirement struct {
	// ConcurrentRequests is the number of requests at the same time.
	ConcurrentRequests float64
	// Slots is the number of requests that an instance runs concurrently.
	Slots int
	// MinInstances is the minimum number of instances.
	MinInstances int
}

// Plan lists the instances to start or stop.
type Plan struct {
	starts []InstanceOption
	stops  []string
	reason Reason
}

// Reason is the condition that determined a plan.
type Reason string

const (
	// ReasonSufficient means that the capacity is neither too low nor too high.
	ReasonSufficient Reason = "enough"
	// ReasonDemand means that the requests need more instances.
	ReasonDemand Reason = "demand"
	// ReasonReclaimReserve means that too little capacity would remain if a data
	// centre lost its reclaimable instances.
	ReasonReclaimReserve Reason = "survival"
	// ReasonExcessCapacity means that an instance can be stopped.
	ReasonExcessCapacity Reason = "surplus"
	// ReasonStartsRefused means that more instances are needed, but every kind that
	// would help was recently refused.
	ReasonStartsRefused Reason = "starts_refused"
)

// Starts returns the instances to start.
func (p Plan) Starts() []InstanceOption { return p.starts }

// Stops returns the names of the instances to stop.
func (p Plan) Stops() []string { return p.stops }

// Reason returns the condition that determined the plan.
func (p Plan) Reason() Reason { return p.reason }

// PlanChanges returns the instances to start, up to maxStartsPerPlan, or one to
// stop. It chooses the cheapest options. A reclaimable option in the data centre
// with the most reclaimable instances counts twice its price if another start
// would then be needed as a reserve.
func PlanChanges(requirement CapacityRequirement, options []InstanceOption, running []RunningInstance) Plan {
	fleet := slices.Clone(running)
	plan := Plan{reason: ReasonSufficient}
	for range maxStartsPerPlan {
		reason := shortage(requirement, fleet)
		if reason == ReasonSufficient {
			break
		}
		option, ok := cheapestOption(requirement, options, fleet, reason)
		if !ok {
			plan.reason = ReasonStartsRefused
			return plan
		}
		plan.reason = reason
		plan.starts = append(plan.starts, option)
		fleet = append(fleet, RunningInstance{DataCentre: option.DataCentre, Reclaimable: option.Reclaimable, Price: option.Price})
	}
	if len(plan.starts) > 0 {
		return plan
	}
	if name, ok := excessInstance(requirement, running); ok {
		return Plan{stops: []string{name}, reason: ReasonExcessCapacity}
	}
	return plan
}

// shortage returns the reason why a fleet needs more instances, or
// ReasonSufficient.
func shortage(requirement CapacityRequirement, fleet []RunningInstance) Reason {
	if len(fleet) < requiredInstances(requirement) {
		return ReasonDemand
	}
	if len(fleet)-worstLoss(fleet) < requiredAfterLoss(requirement) {
		return ReasonReclaimReserve
	}
	return ReasonSufficient
}

// requiredInstances returns the number of instances that the requirement needs.
func requiredInstances(requirement CapacityRequirement) int {
	return max(requirement.MinInstances, int(math.Ceil(requirement.ConcurrentRequests*capacityRatio/float64(max(1, requirement.Slots)))))
}

// requiredAfterLoss returns the number of instances that must remain after the
// worst loss.
func requiredAfterLoss(requirement CapacityRequirement) int {
	return max(1, int(math.Ceil(requirement.ConcurrentRequests*remainingCapacityRatio/float64(max(1, requirement.Slots)))))
}

// worstLoss returns the largest number of reclaimable instances in one data centre.
func worstLoss(fleet []RunningInstance) int {
	worst := 0
	for _, r := range fleet {
		worst = max(worst, reclaimableIn(fleet, r.DataCentre))
	}
	return worst
}

func reclaimableIn(fleet []RunningInstance, dataCentre string) int {
	count := 0
	for _, r := range fleet {
		if r.Reclaimable && r.DataCentre == dataCentre {
			count++
		}
	}
	return count
}

// cheapestOption returns the option with the lowest effective price. If the
// reclaim reserve is too small, it considers only options that don't increase the
// worst loss.
func cheapestOption(requirement CapacityRequirement, options []InstanceOption, fleet []RunningInstance, reason Reason) (InstanceOption, bool) {
	var usable []InstanceOption
	for _, o := range options {
		isUseful := reason == ReasonDemand || !o.Reclaimable || reclaimableIn(fleet, o.DataCentre) < worstLoss(fleet)
		if !o.RecentlyRefused && isUseful {
			usable = append(usable, o)
		}
	}
	if len(usable) == 0 {
		return InstanceOption{}, false
	}
	return slices.MinFunc(usable, func(a, b InstanceOption) int {
		return cmp.Or(
			cmp.Compare(effectivePrice(requirement, a, fleet), effectivePrice(requirement, b, fleet)),
			cmp.Compare(a.DataCentre, b.DataCentre),
		)
	}), true
}

// effectivePrice returns the price of an option. If the option increases the worst
// loss and too few instances would remain after it, the price is doubled to
// include the reserve instance that is then needed.
func effectivePrice(requirement CapacityRequirement, o InstanceOption, fleet []RunningInstance) float64 {
	if !o.Reclaimable {
		return o.Price
	}
	increasesLoss := reclaimableIn(fleet, o.DataCentre) >= worstLoss(fleet)
	remaining := len(fleet) + 1 - (worstLoss(fleet) + 1)
	if increasesLoss && remaining < requiredAfterLoss(requirement) {
		return 2 * o.Price
	}
	return o.Price
}

// excessInstance returns the most expensive instance that the fleet doesn't need.
// It adds half an instance's slots to the concurrent requests, so that starts and
// stops don't alternate.
func excessInstance(requirement CapacityRequirement, running []RunningInstance) (string, bool) {
	byPrice := slices.Clone(running)
	slices.SortStableFunc(byPrice, func(a, b RunningInstance) int { return cmp.Compare(b.Price, a.Price) })
	for _, candidate := range byPrice {
		rest := slices.DeleteFunc(slices.Clone(running), func(r RunningInstance) bool { return r.Name == candidate.Name })
		withMargin := requirement
		withMargin.ConcurrentRequests += float64(requirement.Slots) / 2
		if len(rest) > 0 && shortage(withMargin, rest) == ReasonSufficient {
			return candidate.Name, true
		}
	}
	return "", false
}
