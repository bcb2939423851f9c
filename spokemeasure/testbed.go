package spokemeasure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokedemo"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeload"
	"mulberryspoke.example/mulberryspoke/spokelog"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

const (
	benchKey       = "bench-key"
	otherKey       = "other-key"
	operatorKey    = "bench-operator"
	benchService   = "assistant"
	engineStepTime = 10 * time.Millisecond
	slotsPerEngine = 8
	// startupDelay is the time between the start of a deployment and its first
	// request.
	startupDelay = 2 * spokeclock.Second
	// maxMetricsBytes is the part of the metrics of an instance that is read.
	maxMetricsBytes = 1 << 20
)

// setup describes the deployment of an experiment.
type setup struct {
	dataCentres          int
	enginesPerDataCentre int
	routing              spokeconfig.Routing
	disabledMechanisms   []string
	// isManaged lets the autoscaler start and stop instances.
	isManaged bool
	// onDemandEngines is the total number of on-demand engines, spread over the
	// data centres. Unless zero, it replaces enginesPerDataCentre.
	onDemandEngines int
	// reclaimablePerHour is the declared price of a reclaimable instance.
	reclaimablePerHour float64
}

// variant is one routing policy, or the product without some of its mechanisms.
type variant struct {
	name               string
	routing            spokeconfig.Routing
	disabledMechanisms []string
}

// routingVariants returns the baseline routing policies, without the mechanisms
// that favour short answers and move answers off slow servers, and last the
// product's own policy with them.
func routingVariants() []variant {
	baselineDisabled := []string{"priority", "slow_move"}
	return []variant{
		{name: "round_robin", routing: spokeconfig.RoutingRoundRobin, disabledMechanisms: baselineDisabled},
		{name: "least_reported", routing: spokeconfig.RoutingLeastReportedLoad, disabledMechanisms: baselineDisabled},
		{name: "two_choices", routing: spokeconfig.RoutingTwoChoices, disabledMechanisms: baselineDisabled},
		{name: "score", routing: spokeconfig.RoutingScore},
	}
}

func (v variant) setup(dataCentres, enginesPerDataCentre int) setup {
	return setup{dataCentres: dataCentres, enginesPerDataCentre: enginesPerDataCentre, routing: v.routing, disabledMechanisms: v.disabledMechanisms}
}

// testbed is the running deployment of an experiment.
type testbed struct {
	deployment *spokedemo.LocalDeployment
	cancel     context.CancelFunc
}

func startTestbed(ctx context.Context, s setup) (*testbed, error) {
	ctx, cancel := context.WithCancel(ctx)
	deployment := &spokedemo.LocalDeployment{Example: s.example(), Logs: spokelog.Discard(), StepTime: engineStepTime, SwitchOff: s.disabledMechanisms, StartedEngineSlots: slotsPerEngine}
	if err := deployment.Start(ctx); err != nil {
		cancel()
		return nil, err
	}
	if err := spokeclock.Sleep(ctx, startupDelay); err != nil {
		cancel()
		return nil, err
	}
	return &testbed{deployment: deployment, cancel: cancel}, nil
}

func (b *testbed) close() {
	b.cancel()
	b.deployment.Wait()
}

// example returns the setup's deployment and declaration.
func (s setup) example() spokedemo.Example {
	var declaration strings.Builder
	declaration.WriteString("version: 1\ndata_centres:\n")
	deployment := spokedemo.Deployment{OperatorKey: operatorKey}
	for i := range s.dataCentres {
		name := fmt.Sprintf("place-%d", i+1)
		fmt.Fprintf(&declaration, "  - {name: %s, region: bench}\n", name)
		servers := spokedemo.ServerGroup{
			Service: benchService, Kind: spokeconfig.ServiceModel, Count: s.enginesPerDataCentre, Slots: slotsPerEngine,
			MachineClass: "bench", Reclaimable: true,
		}
		if s.onDemandEngines > 0 {
			servers.Count = (s.onDemandEngines + i) / s.dataCentres
			servers.Reclaimable = false
		}
		deployment.DataCentres = append(deployment.DataCentres, spokedemo.DataCentre{Name: name, EntryInstances: 2, Servers: []spokedemo.ServerGroup{servers}})
	}
	fmt.Fprintf(&declaration, `services:
  - {name: %s, kind: model, first_token_target_millis: 1900, token_gap_target_millis: 61, long_answer_tokens: 200, routing: %s, managed: %t, least_instances: %d}
workspaces:
  - {name: bench, key_sha256: %s}
  - {name: other, key_sha256: %s, priority: 1}
`, benchService, s.routing, s.isManaged, minManagedInstances, spokeconfig.HashKey(benchKey), spokeconfig.HashKey(otherKey))
	declaration.WriteString("prices:\n")
	for i := range s.dataCentres {
		fmt.Fprintf(&declaration, "  - {data_centre: place-%d, machine_class: bench, reclaimable_per_hour: %v, on_demand_per_hour: %v}\n", i+1, s.reclaimablePerHour, onDemandPerHour)
	}
	return spokedemo.Example{Deployment: deployment, Declaration: []byte(declaration.String())}
}

// quickKind returns a request with a short prompt and a short answer.
func quickKind(weight int) spokeload.RequestKind {
	return spokeload.RequestKind{
		Name: "quick", Shape: spokeload.ShapeChat, Service: benchService, WorkspaceKey: benchKey, Weight: weight,
		PromptWords: 20, AnswerTokens: quickAnswerTokens, Stream: true, FirstTokenTarget: quickFirstTokenTarget,
	}
}

// planKind returns a request with a long prompt and a long answer, from the
// workspace with the lower priority.
func planKind(weight int) spokeload.RequestKind {
	return spokeload.RequestKind{
		Name: "plan", Shape: spokeload.ShapeChat, Service: benchService, WorkspaceKey: otherKey, Weight: weight,
		PromptWords: 200, AnswerTokens: planAnswerTokens, Stream: true, FirstTokenTarget: planFirstTokenTarget,
	}
}

const (
	quickAnswerTokens     = 24
	planAnswerTokens      = 300
	quickFirstTokenTarget = 1900 * spokeclock.Millis(1)
	planFirstTokenTarget  = 10 * spokeclock.Second
)

func (b *testbed) runLoad(ctx context.Context, seed uint64, mix []spokeload.RequestKind, phases ...spokeload.Phase) (*spokeload.Result, error) {
	return spokeload.Run(ctx, spokeload.Plan{Seed: seed, Targets: b.deployment.CallerURLs(), Mix: mix, Phases: phases}, nil)
}

// slowEngines multiplies the step time of the first count engines of the first
// data centre by factor. A factor of 1 restores their speed.
func (b *testbed) slowEngines(count int, factor float64) {
	for i := range count {
		engine := b.deployment.Engine(fmt.Sprintf("place-1-%s-%d", benchService, i+1))
		engine.SetFaults(spokestandin.EngineFaults{SlowdownFactor: factor})
	}
}

// sumMetric returns the sum of a metric over the entry instances that respond.
func (b *testbed) sumMetric(ctx context.Context, name string) float64 {
	sum, client := 0.0, spokehttp.NewClient()
	for _, url := range b.deployment.OperatorURLs() {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", http.NoBody)
		if err != nil {
			continue
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		text, err := io.ReadAll(io.LimitReader(response.Body, maxMetricsBytes))
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			continue
		}
		sum += metricValue(string(text), name)
	}
	return sum
}

// metricValue returns the value of a metric in the Prometheus text format, or
// zero if it is missing.
func metricValue(text, name string) float64 {
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 2 && fields[0] == name {
			value, _ := strconv.ParseFloat(fields[1], 64)
			return value
		}
	}
	return 0
}
