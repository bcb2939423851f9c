package spokemeasure

import (
	"context"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeload"
)

// Measurement is one figure of one variant, summarised over all seeds.
type Measurement struct {
	// Experiment is the name of the experiment.
	Experiment string `json:"experiment"`
	// Variant is the name of the variant, such as a routing policy or a disabled
	// mechanism.
	Variant string `json:"variant"`
	// Name is the name of the figure, with its unit.
	Name string `json:"name"`
	// Summary holds the figure's median and range over the seeds.
	Summary SeedSummary `json:"spread"`
}

// sample is one figure of one run.
type sample struct {
	name  string
	value float64
}

// experiment measures several variants under the same traffic.
type experiment struct {
	name         string
	variantsFunc func() []variant
	// runFunc runs one variant with one seed.
	runFunc func(ctx context.Context, v variant, seed uint64) ([]sample, error)
}

const (
	maxParallelRuns = 3
	loadDuration    = 10 * spokeclock.Second
	// healthyMargin is the time with healthy servers before and after a slowdown.
	healthyMargin = 3 * spokeclock.Second
)

func experiments() []experiment {
	return []experiment{
		{name: "head_of_line", variantsFunc: routingVariants, runFunc: runHeadOfLine},
		{name: "head_of_line_full", variantsFunc: routingVariants, runFunc: runHeadOfLineNearCapacity},
		{name: "slowed_servers", variantsFunc: routingVariants, runFunc: runSlowedServers},
		{name: "overload", variantsFunc: overloadVariants, runFunc: runOverload},
		{name: "cost", variantsFunc: costVariants, runFunc: runCost},
		{name: "recomputed_tokens", variantsFunc: reclaimVariants, runFunc: runRecomputedTokens},
	}
}

// RunExperiments runs the experiment with the given name, or all if the name is
// empty, with each seed and calls emit with every measurement. It returns an
// error of kind KindUnknownExperiment, or the error of a run or of emit.
func RunExperiments(ctx context.Context, name string, seeds []uint64, emit func(Measurement) error) error {
	found := false
	for _, e := range experiments() {
		if name != "" && name != e.name {
			continue
		}
		found = true
		if err := e.measureVariants(ctx, seeds, emit); err != nil {
			return err
		}
	}
	if !found {
		return spokeerror.Newf("measure", KindUnknownExperiment, "%q", name)
	}
	return nil
}

// measureVariants measures one variant after the other.
func (e experiment) measureVariants(ctx context.Context, seeds []uint64, emit func(Measurement) error) error {
	for _, v := range e.variantsFunc() {
		valuesByName, names, err := e.runSeeds(ctx, v, seeds)
		if err != nil {
			return err
		}
		for _, name := range names {
			if err := emit(Measurement{Experiment: e.name, Variant: v.name, Name: name, Summary: Summarise(valuesByName[name])}); err != nil {
				return err
			}
		}
	}
	return nil
}

// runSeeds runs a variant with every seed, at most maxParallelRuns at once. It
// returns the values of each figure and the figures' names in their order.
func (e experiment) runSeeds(ctx context.Context, v variant, seeds []uint64) (map[string][]float64, []string, error) {
	var mutex sync.Mutex
	var runs sync.WaitGroup
	var runErr error
	valuesByName := make(map[string][]float64)
	var names []string
	semaphore := make(chan struct{}, maxParallelRuns)
	for _, seed := range seeds {
		semaphore <- struct{}{}
		runs.Go(func() {
			defer func() { <-semaphore }()
			samples, err := e.runFunc(ctx, v, seed)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				runErr = err
				return
			}
			for _, s := range samples {
				if _, isKnown := valuesByName[s.name]; !isKnown {
					names = append(names, s.name)
				}
				valuesByName[s.name] = append(valuesByName[s.name], s.value)
			}
		})
	}
	runs.Wait()
	return valuesByName, names, runErr
}

// ratio returns numerator over denominator; a denominator below 1 counts as 1.
func ratio(numerator, denominator float64) float64 {
	return numerator / max(1, denominator)
}

// runHeadOfLine measures how much short answers are delayed by long ones that
// run at the same time, and the reverse.
func runHeadOfLine(ctx context.Context, v variant, seed uint64) ([]sample, error) {
	b, err := startTestbed(ctx, v.setup(1, 4))
	if err != nil {
		return nil, err
	}
	defer b.close()
	return measureHeadOfLine(ctx, b, seed, 24, 4)
}

// runHeadOfLineNearCapacity is runHeadOfLine near the capacity of the servers.
func runHeadOfLineNearCapacity(ctx context.Context, v variant, seed uint64) ([]sample, error) {
	b, err := startTestbed(ctx, v.setup(1, 4))
	if err != nil {
		return nil, err
	}
	defer b.close()
	return measureHeadOfLine(ctx, b, seed, 36, 5)
}

// measureHeadOfLine sends quick questions alone, plans alone and then both. The
// rates are in requests per second.
func measureHeadOfLine(ctx context.Context, b *testbed, seed uint64, quickRate, planRate int) ([]sample, error) {
	quickAlone, err := b.runLoad(ctx, seed, []spokeload.RequestKind{quickKind(1)}, spokeload.Phase{Rate: float64(quickRate), Duration: loadDuration})
	if err != nil {
		return nil, err
	}
	planAlone, err := b.runLoad(ctx, seed, []spokeload.RequestKind{planKind(1)}, spokeload.Phase{Rate: float64(planRate), Duration: loadDuration})
	if err != nil {
		return nil, err
	}
	mixed, err := b.runLoad(ctx, seed, []spokeload.RequestKind{quickKind(quickRate), planKind(planRate)}, spokeload.Phase{Rate: float64(quickRate + planRate), Duration: loadDuration})
	if err != nil {
		return nil, err
	}
	withPlans, withoutPlans := mixed.Group("quick", 0), quickAlone.Group("quick", 0)
	return []sample{
		{"quick first token p99 alone, ms", float64(withoutPlans.FirstTokenLatency.P99)},
		{"quick first token p99 with plans, ms", float64(withPlans.FirstTokenLatency.P99)},
		{"ratio with plans over alone", ratio(float64(withPlans.FirstTokenLatency.P99), float64(withoutPlans.FirstTokenLatency.P99))},
		{"plan whole p50 ratio with quick over alone", ratio(float64(mixed.Group("plan", 0).TotalLatency.P50), float64(planAlone.Group("plan", 0).TotalLatency.P50))},
		{"requests not answered whole", float64(mixed.SentRequests() - mixed.CountVerdict(spokeload.VerdictComplete))},
	}, nil
}

// runSlowedServers compares a load on healthy servers with one during which a
// quarter of the servers are ten times slower for a while.
func runSlowedServers(ctx context.Context, v variant, seed uint64) ([]sample, error) {
	b, err := startTestbed(ctx, v.setup(1, 8))
	if err != nil {
		return nil, err
	}
	defer b.close()
	const requestsPerSecond, slowedServers, slowdownFactor = 100, 2, 10
	healthyLoad, err := b.runLoad(ctx, seed, []spokeload.RequestKind{quickKind(1)}, spokeload.Phase{Rate: requestsPerSecond, Duration: loadDuration})
	if err != nil {
		return nil, err
	}
	go func() {
		_ = spokeclock.Sleep(ctx, healthyMargin)
		b.slowEngines(slowedServers, slowdownFactor)
		_ = spokeclock.Sleep(ctx, loadDuration-2*healthyMargin)
		b.slowEngines(slowedServers, 1)
	}()
	slowedLoad, err := b.runLoad(ctx, seed+1, []spokeload.RequestKind{quickKind(1)}, spokeload.Phase{Rate: requestsPerSecond, Duration: loadDuration})
	if err != nil {
		return nil, err
	}
	slowed, healthy := slowedLoad.Group("quick", 0), healthyLoad.Group("quick", 0)
	return []sample{
		{"first token p99 healthy, ms", float64(healthy.FirstTokenLatency.P99)},
		{"first token p99 slowed, ms", float64(slowed.FirstTokenLatency.P99)},
		{"whole p99 healthy, ms", float64(healthy.TotalLatency.P99)},
		{"whole p99 slowed, ms", float64(slowed.TotalLatency.P99)},
		{"ratio of whole p99 slowed over healthy", ratio(float64(slowed.TotalLatency.P99), float64(healthy.TotalLatency.P99))},
		{"requests not answered whole", float64(slowedLoad.SentRequests() - slowedLoad.CountVerdict(spokeload.VerdictComplete))},
	}, nil
}
