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
	"mulberryspoke.example/mulberryspoke/spokeload"
	"mulberryspoke.example/mulberryspoke/spokelog"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

const (
	benchKey     = "bench-key"
	otherKey     = "other-key"
	operatorKey  = "bench-operator"
	benchService = "assistant"
	benchStep    = 10 * time.Millisecond
	benchSlots   = 8
	settleTime   = 2 * spokeclock.Second
)

// setup is a deployment for an experiment.
type setup struct {
	places    int
	engines   int
	routing   spokeconfig.Routing
	switchOff []string
	// managed lets the product start and stop instances.
	managed bool
	// onDemand is a number of on-demand engines, spread over the places.
	onDemand int
	// reclaimPrice is what is declared for a reclaimable instance.
	reclaimPrice float64
}

// variant is one policy, or one mechanism turned off, under a name.
type variant struct {
	name      string
	routing   spokeconfig.Routing
	switchOff []string
}

// baselines are the policies to beat and the product's own, last.
func baselines() []variant {
	plain := []string{"priority", "slow_move"}
	return []variant{
		{name: "round_robin", routing: spokeconfig.RoutingRoundRobin, switchOff: plain},
		{name: "least_reported", routing: spokeconfig.RoutingLeastReportedLoad, switchOff: plain},
		{name: "two_choices", routing: spokeconfig.RoutingTwoChoices, switchOff: plain},
		{name: "score", routing: spokeconfig.RoutingScore},
	}
}

func (v variant) setup(places, engines int) setup {
	return setup{places: places, engines: engines, routing: v.routing, switchOff: v.switchOff}
}

// bench is a running experiment.
type bench struct {
	local *spokedemo.LocalDeployment
	stop  context.CancelFunc
}

func startBench(ctx context.Context, s setup) (*bench, error) {
	ctx, cancel := context.WithCancel(ctx)
	local := &spokedemo.LocalDeployment{Example: s.example(), Logs: spokelog.Discard(), StepTime: benchStep, SwitchOff: s.switchOff, StartedEngineSlots: benchSlots}
	if err := local.Start(ctx); err != nil {
		cancel()
		return nil, err
	}
	if err := spokeclock.Sleep(ctx, settleTime); err != nil {
		cancel()
		return nil, err
	}
	return &bench{local: local, stop: cancel}, nil
}

func (b *bench) close() {
	b.stop()
	b.local.Wait()
}

func (s setup) example() spokedemo.Example {
	var declaration strings.Builder
	declaration.WriteString("version: 1\ndata_centres:\n")
	deployment := spokedemo.Deployment{OperatorKey: operatorKey}
	for i := range s.places {
		name := fmt.Sprintf("place-%d", i+1)
		fmt.Fprintf(&declaration, "  - {name: %s, region: bench}\n", name)
		servers := spokedemo.ServerGroup{
			Service: benchService, Kind: spokeconfig.ServiceModel, Count: s.engines, Slots: benchSlots,
			MachineClass: "bench", Reclaimable: true,
		}
		if s.onDemand > 0 {
			servers.Count = (s.onDemand + i) / s.places
			servers.Reclaimable = false
		}
		deployment.DataCentres = append(deployment.DataCentres, spokedemo.DataCentre{Name: name, EntryInstances: 2, Servers: []spokedemo.ServerGroup{servers}})
	}
	fmt.Fprintf(&declaration, `services:
  - {name: %s, kind: model, first_token_target_millis: 1900, token_gap_target_millis: 61, long_answer_tokens: 200, routing: %s, managed: %t, least_instances: %d}
workspaces:
  - {name: bench, key_sha256: %s}
  - {name: other, key_sha256: %s, priority: 1}
`, benchService, s.routing, s.managed, managedLeast, spokeconfig.HashKey(benchKey), spokeconfig.HashKey(otherKey))
	declaration.WriteString("prices:\n")
	for i := range s.places {
		fmt.Fprintf(&declaration, "  - {data_centre: place-%d, machine_class: bench, reclaimable_per_hour: %v, on_demand_per_hour: %v}\n", i+1, s.reclaimPrice, onDemandPrice)
	}
	return spokedemo.Example{Deployment: deployment, Declaration: []byte(declaration.String())}
}

// quick is a short question; plan is a long answer.
func quick(weight int) spokeload.RequestKind {
	return spokeload.RequestKind{
		Name: "quick", Shape: spokeload.ShapeChat, Service: benchService, WorkspaceKey: benchKey, Weight: weight,
		PromptWords: 20, AnswerTokens: quickTokens, Stream: true, FirstTokenTarget: firstTarget,
	}
}

func plan(weight int) spokeload.RequestKind {
	return spokeload.RequestKind{
		Name: "plan", Shape: spokeload.ShapeChat, Service: benchService, WorkspaceKey: otherKey, Weight: weight,
		PromptWords: 200, AnswerTokens: planTokens, Stream: true, FirstTokenTarget: planTarget,
	}
}

const (
	quickTokens = 24
	planTokens  = 300
	firstTarget = 1900 * spokeclock.Millis(1)
	planTarget  = 10 * spokeclock.Second
)

func (b *bench) load(ctx context.Context, seed uint64, mix []spokeload.RequestKind, phases ...spokeload.Phase) (*spokeload.Result, error) {
	return spokeload.Run(ctx, spokeload.Plan{Seed: seed, Targets: b.local.CallerURLs(), Mix: mix, Phases: phases}, nil)
}

// slow makes the first engines so many times slower.
func (b *bench) slow(count int, factor float64) {
	for i := range count {
		engine := b.local.Engine(fmt.Sprintf("place-1-%s-%d", benchService, i+1))
		engine.SetFaults(spokestandin.EngineFaults{SlowdownFactor: factor})
	}
}

// metric sums a metric over the entry instances.
func (b *bench) metric(ctx context.Context, name string) float64 {
	sum := 0.0
	for _, url := range b.local.OperatorURLs() {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", http.NoBody)
		if err != nil {
			continue
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		sum += valueOf(string(text), name)
	}
	return sum
}

func valueOf(text, name string) float64 {
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 2 && fields[0] == name {
			value, _ := strconv.ParseFloat(fields[1], 64)
			return value
		}
	}
	return 0
}
