package spokemeasure

import (
	"context"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeload"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

const (
	costPlaces    = 4
	reclaimPrice  = 0.40
	onDemandPrice = 1.30
	costPhase     = 12 * spokeclock.Second
	costNotice    = 2 * spokeclock.Second
	costSample    = 200 * spokeclock.Millis(1)
	lowRate       = 20.0
	peakRate      = 60.0
	// onDemandFleet holds the peak with the same headroom as a managed fleet.
	onDemandFleet  = 3
	managedLeast   = 2
	answersForCost = 1e6
)

const (
	variantFixed    = "all on demand, sized for the peak"
	variantOnDemand = "managed, on demand only"
	variantManaged  = "managed"
	// neverPrice keeps a managed fleet from taking reclaimable instances.
	neverPrice = 1000.0
)

func costVariants() []variant {
	return []variant{
		{name: variantFixed, routing: spokeconfig.RoutingScore},
		{name: variantOnDemand, routing: spokeconfig.RoutingScore},
		{name: variantManaged, routing: spokeconfig.RoutingScore},
	}
}

// costOf runs a low, a peak and a low phase with two reclaim waves and refused
// starts, and counts what the instances cost.
func costOf(ctx context.Context, v variant, seed uint64) ([]sample, error) {
	s := v.setup(costPlaces, 0)
	s.managed = v.name != variantFixed
	s.reclaimPrice = reclaimPrice
	if v.name == variantOnDemand {
		s.reclaimPrice = neverPrice
	}
	if !s.managed {
		s.onDemand = onDemandFleet
	}
	b, err := startBench(ctx, s)
	if err != nil {
		return nil, err
	}
	defer b.close()
	if err := spokeclock.Sleep(ctx, costPhase); err != nil {
		return nil, err
	}
	meter := &costMeter{}
	metering, stop := context.WithCancel(ctx)
	var meters sync.WaitGroup
	meters.Go(func() { meter.run(metering, b) })
	go b.waves(metering)
	result, err := b.load(ctx, seed, []spokeload.RequestKind{quick(1)},
		spokeload.Phase{Rate: lowRate, Duration: costPhase},
		spokeload.Phase{Rate: peakRate, Duration: costPhase},
		spokeload.Phase{Rate: lowRate, Duration: costPhase})
	stop()
	meters.Wait()
	if err != nil {
		return nil, err
	}
	good, sent, slowest := 0, 0, int64(0)
	for _, group := range result.Groups {
		good += group.GoodAnswers
		sent += group.SentRequests
		slowest = max(slowest, group.FirstTokenLatency.P95)
	}
	return []sample{
		{"cost for a million good answers", meter.total / float64(max(1, good)) * answersForCost},
		{"part good", ratio(float64(good), float64(sent))},
		{"first token p95, worst phase, ms", float64(slowest)},
		{"requests lost or broken", float64(result.FailedRequests())},
	}, nil
}

// waves reclaims a place in the low phase and another at the peak, while
// replacements of the first kind are refused for a while.
func (b *bench) waves(ctx context.Context) {
	control := b.local.Cloud().Control
	_ = spokeclock.Sleep(ctx, costPhase/2)
	control(spokestandin.CloudControlRequest{Reclaim: &spokestandin.ReclaimRequest{DataCentre: "place-1", NoticeTime: costNotice}})
	_ = spokeclock.Sleep(ctx, costPhase)
	control(spokestandin.CloudControlRequest{Faults: &spokestandin.CloudFaults{RefuseStarts: true}})
	control(spokestandin.CloudControlRequest{Reclaim: &spokestandin.ReclaimRequest{DataCentre: "place-2", NoticeTime: costNotice}})
	_ = spokeclock.Sleep(ctx, costPhase/4)
	control(spokestandin.CloudControlRequest{Faults: &spokestandin.CloudFaults{}})
}

// costMeter adds up prices over time.
type costMeter struct {
	total float64
}

func (m *costMeter) run(ctx context.Context, b *bench) {
	const hour = 3600.0
	spokeclock.Every(ctx, costSample, func() {
		seconds := float64(costSample) / float64(spokeclock.Second)
		for _, instance := range b.local.Cloud().LiveInstances() {
			if instance.Role != spokecloud.RoleBackend {
				continue
			}
			price := onDemandPrice
			if instance.Reclaimable {
				price = reclaimPrice
			}
			m.total += price * seconds / hour
		}
	})
}
