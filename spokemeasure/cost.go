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
	costDataCentres       = 4
	reclaimablePerHour    = 0.40
	onDemandPerHour       = 1.30
	costPhaseDuration     = 12 * spokeclock.Second
	reclaimNoticeTime     = 2 * spokeclock.Second
	costMeterInterval     = 200 * spokeclock.Millis(1)
	lowRequestsPerSecond  = 20.0
	peakRequestsPerSecond = 60.0
	// fixedOnDemandEngines serves the peak with the same headroom as a managed
	// fleet.
	fixedOnDemandEngines = 3
	minManagedInstances  = 2
	// costAnswers is the number of good answers that the cost is stated for.
	costAnswers = 1e6
)

const (
	variantFixed    = "all on demand, sized for the peak"
	variantOnDemand = "managed, on demand only"
	variantManaged  = "managed"
	// prohibitivePerHour is a declared price at which a managed fleet never
	// chooses reclaimable instances.
	prohibitivePerHour = 1000.0
)

func costVariants() []variant {
	return []variant{
		{name: variantFixed, routing: spokeconfig.RoutingScore},
		{name: variantOnDemand, routing: spokeconfig.RoutingScore},
		{name: variantManaged, routing: spokeconfig.RoutingScore},
	}
}

// runCost measures what the instances cost during a low, a peak and a low phase,
// with two waves of reclaims and a time in which the cloud refuses starts.
func runCost(ctx context.Context, v variant, seed uint64) ([]sample, error) {
	s := v.setup(costDataCentres, 0)
	s.isManaged = v.name != variantFixed
	s.reclaimablePerHour = reclaimablePerHour
	if v.name == variantOnDemand {
		s.reclaimablePerHour = prohibitivePerHour
	}
	if !s.isManaged {
		s.onDemandEngines = fixedOnDemandEngines
	}
	b, err := startTestbed(ctx, s)
	if err != nil {
		return nil, err
	}
	defer b.close()
	if err := spokeclock.Sleep(ctx, costPhaseDuration); err != nil {
		return nil, err
	}
	meter := &costMeter{}
	meterContext, stopMeter := context.WithCancel(ctx)
	var meterRunning sync.WaitGroup
	meterRunning.Go(func() { meter.run(meterContext, b) })
	go b.runReclaimWaves(meterContext)
	result, err := b.runLoad(ctx, seed, []spokeload.RequestKind{quickKind(1)},
		spokeload.Phase{Rate: lowRequestsPerSecond, Duration: costPhaseDuration},
		spokeload.Phase{Rate: peakRequestsPerSecond, Duration: costPhaseDuration},
		spokeload.Phase{Rate: lowRequestsPerSecond, Duration: costPhaseDuration})
	stopMeter()
	meterRunning.Wait()
	if err != nil {
		return nil, err
	}
	goodAnswers, sentRequests, worstP95 := 0, 0, int64(0)
	for _, group := range result.Groups {
		goodAnswers += group.GoodAnswers
		sentRequests += group.SentRequests
		worstP95 = max(worstP95, group.FirstTokenLatency.P95)
	}
	return []sample{
		{"cost for a million good answers", meter.total / float64(max(1, goodAnswers)) * costAnswers},
		{"part good", ratio(float64(goodAnswers), float64(sentRequests))},
		{"first token p95, worst phase, ms", float64(worstP95)},
		{"requests lost or broken", float64(result.FailedRequests())},
	}, nil
}

// runReclaimWaves reclaims the first data centre's instances in the middle of
// the low phase, and the second's in the middle of the peak. The cloud refuses
// all starts during the quarter of a phase after the second wave.
func (b *testbed) runReclaimWaves(ctx context.Context) {
	control := b.deployment.Cloud().Control
	_ = spokeclock.Sleep(ctx, costPhaseDuration/2)
	control(spokestandin.CloudControlRequest{Reclaim: &spokestandin.ReclaimRequest{DataCentre: "place-1", NoticeTime: reclaimNoticeTime}})
	_ = spokeclock.Sleep(ctx, costPhaseDuration)
	control(spokestandin.CloudControlRequest{Faults: &spokestandin.CloudFaults{RefuseStarts: true}})
	control(spokestandin.CloudControlRequest{Reclaim: &spokestandin.ReclaimRequest{DataCentre: "place-2", NoticeTime: reclaimNoticeTime}})
	_ = spokeclock.Sleep(ctx, costPhaseDuration/4)
	control(spokestandin.CloudControlRequest{Faults: &spokestandin.CloudFaults{}})
}

// costMeter adds up the cost of the running backend servers over time.
type costMeter struct {
	total float64
}

func (m *costMeter) run(ctx context.Context, b *testbed) {
	const secondsPerHour = 3600.0
	spokeclock.Every(ctx, costMeterInterval, func() {
		seconds := float64(costMeterInterval) / float64(spokeclock.Second)
		for _, instance := range b.deployment.Cloud().LiveInstances() {
			if instance.Role != spokecloud.RoleBackend {
				continue
			}
			pricePerHour := onDemandPerHour
			if instance.Reclaimable {
				pricePerHour = reclaimablePerHour
			}
			m.total += pricePerHour * seconds / secondsPerHour
		}
	})
}
