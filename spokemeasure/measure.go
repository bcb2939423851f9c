package spokemeasure

import (
	"context"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeload"
)

// Measurement is one measured figure of one variant, over all seeds.
type Measurement struct {
	// Experiment names the experiment.
	Experiment string `json:"experiment"`
	// Variant names the policy or what was turned off.
	Variant string `json:"variant"`
	// Name names the figure, with its unit.
	Name string `json:"name"`
	// Summary is the figure over the seeds.
	Summary SeedSummary `json:"spread"`
}

// sample is one figure of one run.
type sample struct {
	name  string
	value float64
}

// experiment runs one variant with one seed.
type experiment struct {
	name     string
	variants func() []variant
	run      func(ctx context.Context, v variant, seed uint64) ([]sample, error)
}

const (
	atOnce     = 3
	steadyTime = 10 * spokeclock.Second
	healthyPad = 3 * spokeclock.Second
)

func experiments() []experiment {
	return []experiment{
		{name: "head_of_line", variants: baselines, run: headOfLine},
		{name: "head_of_line_full", variants: baselines, run: headOfLineFull},
		{name: "slowed_servers", variants: baselines, run: slowedServers},
		{name: "overload", variants: overloadVariants, run: overload},
		{name: "cost", variants: costVariants, run: costOf},
		{name: "recomputed_tokens", variants: reclaimVariants, run: recomputed},
	}
}

// RunExperiments carries out one experiment, or all, over the seeds and hands each
// figure on. It returns an error of kind KindUnknownExperiment.
func RunExperiments(ctx context.Context, only string, seeds []uint64, emit func(Measurement) error) error {
	found := false
	for _, e := range experiments() {
		if only != "" && only != e.name {
			continue
		}
		found = true
		if err := e.all(ctx, seeds, emit); err != nil {
			return err
		}
	}
	if !found {
		return spokeerror.Newf("measure", KindUnknownExperiment, "%q", only)
	}
	return nil
}

// all runs every variant with every seed, a few at once.
func (e experiment) all(ctx context.Context, seeds []uint64, emit func(Measurement) error) error {
	for _, v := range e.variants() {
		values, order, err := e.samples(ctx, v, seeds)
		if err != nil {
			return err
		}
		for _, name := range order {
			if err := emit(Measurement{Experiment: e.name, Variant: v.name, Name: name, Summary: Summarise(values[name])}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e experiment) samples(ctx context.Context, v variant, seeds []uint64) (map[string][]float64, []string, error) {
	var mutex sync.Mutex
	var runs sync.WaitGroup
	var failed error
	values := make(map[string][]float64)
	var order []string
	gate := make(chan struct{}, atOnce)
	for _, seed := range seeds {
		gate <- struct{}{}
		runs.Go(func() {
			defer func() { <-gate }()
			list, err := e.run(ctx, v, seed)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failed = err
				return
			}
			for _, s := range list {
				if _, known := values[s.name]; !known {
					order = append(order, s.name)
				}
				values[s.name] = append(values[s.name], s.value)
			}
		})
	}
	runs.Wait()
	return values, order, failed
}

func ratio(a, b float64) float64 {
	return a / max(1, b)
}

// headOfLine compares quick questions with long plans present to those
// without, and plans with quick questions to those without.
func headOfLine(ctx context.Context, v variant, seed uint64) ([]sample, error) {
	b, err := startBench(ctx, v.setup(1, 4))
	if err != nil {
		return nil, err
	}
	defer b.close()
	return headOfLineAt(ctx, b, seed, 24, 4)
}

// headOfLineFull is the same near the servers' capacity.
func headOfLineFull(ctx context.Context, v variant, seed uint64) ([]sample, error) {
	b, err := startBench(ctx, v.setup(1, 4))
	if err != nil {
		return nil, err
	}
	defer b.close()
	return headOfLineAt(ctx, b, seed, 36, 5)
}

func headOfLineAt(ctx context.Context, b *bench, seed uint64, quickRate, planRate int) ([]sample, error) {
	alone, err := b.load(ctx, seed, []spokeload.RequestKind{quick(1)}, spokeload.Phase{Rate: float64(quickRate), Duration: steadyTime})
	if err != nil {
		return nil, err
	}
	plans, err := b.load(ctx, seed, []spokeload.RequestKind{plan(1)}, spokeload.Phase{Rate: float64(planRate), Duration: steadyTime})
	if err != nil {
		return nil, err
	}
	both, err := b.load(ctx, seed, []spokeload.RequestKind{quick(quickRate), plan(planRate)}, spokeload.Phase{Rate: float64(quickRate + planRate), Duration: steadyTime})
	if err != nil {
		return nil, err
	}
	with, without := both.Group("quick", 0), alone.Group("quick", 0)
	return []sample{
		{"quick first token p99 alone, ms", float64(without.FirstTokenLatency.P99)},
		{"quick first token p99 with plans, ms", float64(with.FirstTokenLatency.P99)},
		{"ratio with plans over alone", ratio(float64(with.FirstTokenLatency.P99), float64(without.FirstTokenLatency.P99))},
		{"plan whole p50 ratio with quick over alone", ratio(float64(both.Group("plan", 0).TotalLatency.P50), float64(plans.Group("plan", 0).TotalLatency.P50))},
		{"requests not answered whole", float64(both.SentRequests() - both.CountVerdict(spokeload.VerdictComplete))},
	}, nil
}

// slowedServers slows a quarter of the servers ten times for a while.
func slowedServers(ctx context.Context, v variant, seed uint64) ([]sample, error) {
	b, err := startBench(ctx, v.setup(1, 8))
	if err != nil {
		return nil, err
	}
	defer b.close()
	const rate, slowed, factor = 100, 2, 10
	healthy, err := b.load(ctx, seed, []spokeload.RequestKind{quick(1)}, spokeload.Phase{Rate: rate, Duration: steadyTime})
	if err != nil {
		return nil, err
	}
	go func() {
		_ = spokeclock.Sleep(ctx, healthyPad)
		b.slow(slowed, factor)
		_ = spokeclock.Sleep(ctx, steadyTime-2*healthyPad)
		b.slow(slowed, 1)
	}()
	hit, err := b.load(ctx, seed+1, []spokeload.RequestKind{quick(1)}, spokeload.Phase{Rate: rate, Duration: steadyTime})
	if err != nil {
		return nil, err
	}
	with, without := hit.Group("quick", 0), healthy.Group("quick", 0)
	return []sample{
		{"first token p99 healthy, ms", float64(without.FirstTokenLatency.P99)},
		{"first token p99 slowed, ms", float64(with.FirstTokenLatency.P99)},
		{"whole p99 healthy, ms", float64(without.TotalLatency.P99)},
		{"whole p99 slowed, ms", float64(with.TotalLatency.P99)},
		{"ratio of whole p99 slowed over healthy", ratio(float64(with.TotalLatency.P99), float64(without.TotalLatency.P99))},
		{"requests not answered whole", float64(hit.SentRequests() - hit.CountVerdict(spokeload.VerdictComplete))},
	}, nil
}
