package spokefleet

import (
	"context"
	"net/http"
	"slices"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokelease"
)

const (
	defaultInterval = spokeclock.Second
	refusedFor      = 10 * spokeclock.Second
	pendingFor      = 30 * spokeclock.Second
	drainFor        = 30 * spokeclock.Second
	orderTimeout    = 2 * spokeclock.Second
	demandMemory    = 0.95
	loadModel       = "load_model"
)

// Manager carries plans out for the services that are declared as managed,
// while it holds the lease. Set its fields before Run.
type Manager struct {
	// Lease is the right to start, stop and order instances.
	Lease *spokelease.Lease
	// Cloud starts and stops instances.
	Cloud *spokecloud.Cloud
	// Registry knows the instances and the demand.
	Registry *spokebackend.Registry
	// Store holds the configuration.
	Store *spokeconfig.Store
	// Client sends orders to engines.
	Client *http.Client
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// DrainStartedFunc is called when a server has been told to leave.
	DrainStartedFunc func()
	// Log takes the log lines.
	Log zerolog.Logger

	fence   spokelease.FencingNumber
	demand  map[string]float64
	refused map[InstanceOption]spokeclock.Millis
	pending []*start
	leaving map[string]spokeclock.Millis
	ordered map[string]spokelease.FencingNumber
}

// start is a request for an instance, from its first try until the instance is
// listed.
type start struct {
	token   string
	service string
	option  InstanceOption
	begun   spokeclock.Millis
	name    string
}

// Run plans at an interval until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	spokeclock.Every(ctx, defaultInterval, func() { m.tick(ctx) })
}

func (m *Manager) tick(ctx context.Context) {
	fence, held := m.Lease.Held()
	snapshot := m.Store.Current()
	if !held || snapshot == nil {
		return
	}
	if fence != m.fence {
		m.reset(fence)
	}
	for i := range snapshot.Declaration().Services {
		service := &snapshot.Declaration().Services[i]
		if service.Managed {
			m.manage(ctx, service, snapshot.Declaration().Prices)
		}
	}
	m.finishStops(ctx)
}

// reset forgets what an earlier holding knew. What runs is seen in the list.
func (m *Manager) reset(fence spokelease.FencingNumber) {
	m.fence = fence
	m.demand = make(map[string]float64)
	m.refused = make(map[InstanceOption]spokeclock.Millis)
	m.pending = nil
	m.leaving = make(map[string]spokeclock.Millis)
	m.ordered = make(map[string]spokelease.FencingNumber)
}

func (m *Manager) manage(ctx context.Context, service *spokeconfig.Service, prices []spokeconfig.Price) {
	m.startPending(ctx)
	running, slots, inUse := m.observe(service.Name, prices)
	m.demand[service.Name] = max(float64(inUse), demandMemory*m.demand[service.Name])
	m.order(ctx, service.Name)
	need := CapacityRequirement{ConcurrentRequests: m.demand[service.Name], Slots: slots, MinInstances: service.LeastInstances}
	plan := PlanChanges(need, m.options(prices), running)
	if plan.Reason() != ReasonSufficient {
		m.Log.Info().Str("service", service.Name).Str("why", string(plan.Reason())).Int("starts", len(plan.Starts())).
			Int("stops", len(plan.Stops())).Float64("demand", need.ConcurrentRequests).Msg("Fleet changes.")
	}
	for _, option := range plan.Starts() {
		m.pending = append(m.pending, &start{token: uuid.NewString(), service: service.Name, option: option, begun: m.Clock.Now()})
	}
	m.startPending(ctx)
	if m.uncertain(service.Name) {
		return
	}
	for _, name := range plan.Stops() {
		m.beginStop(name)
	}
}

// uncertain reports whether a start has had no answer yet. Its instance may be
// listed already and would then count twice.
func (m *Manager) uncertain(service string) bool {
	return slices.ContainsFunc(m.pending, func(s *start) bool { return s.service == service && s.name == "" })
}

// observe returns what runs or is being started, the slots of an instance, and
// the requests under way.
func (m *Manager) observe(service string, prices []spokeconfig.Price) (running []RunningInstance, slots, inUse int) {
	for _, line := range m.Registry.Servers() {
		instance := line.Instance()
		if instance.Service != service || line.RemovalSource() != "" {
			continue
		}
		slots = max(slots, line.Candidate().Slots)
		inUse += line.Candidate().InFlight
		if line.Candidate().Suspended {
			continue
		}
		running = append(running, RunningInstance{
			Name: instance.Name, DataCentre: instance.DataCentre, Reclaimable: instance.Reclaimable,
			Price: priceOf(prices, instance.DataCentre, instance.Reclaimable),
		})
	}
	m.dropListed()
	for _, s := range m.pending {
		if s.service == service {
			running = append(running, RunningInstance{Name: s.token, DataCentre: s.option.DataCentre, Reclaimable: s.option.Reclaimable, Price: s.option.Price})
		}
	}
	return running, max(1, slots), inUse
}

// dropListed forgets starts whose instance is listed or does not come.
func (m *Manager) dropListed() {
	now := m.Clock.Now()
	m.pending = slices.DeleteFunc(m.pending, func(s *start) bool {
		_, listed := m.Registry.Lookup(s.name)
		return listed || now-s.begun > pendingFor
	})
}

func priceOf(prices []spokeconfig.Price, place string, reclaimable bool) float64 {
	for _, price := range prices {
		if price.DataCentre == place && reclaimable {
			return price.Reclaimable
		}
		if price.DataCentre == place {
			return price.OnDemand
		}
	}
	return 0
}

func (m *Manager) options(prices []spokeconfig.Price) []InstanceOption {
	var options []InstanceOption
	for _, price := range prices {
		options = append(options,
			m.option(InstanceOption{DataCentre: price.DataCentre, MachineClass: price.MachineClass, Reclaimable: true, Price: price.Reclaimable}),
			m.option(InstanceOption{DataCentre: price.DataCentre, MachineClass: price.MachineClass, Price: price.OnDemand}))
	}
	return options
}

func (m *Manager) option(o InstanceOption) InstanceOption {
	at, refused := m.refused[o]
	o.RecentlyRefused = refused && m.Clock.Now()-at < refusedFor
	return o
}

// startPending asks for the instances not yet granted. An uncertain answer is
// asked for again under the same token, which starts nothing twice.
func (m *Manager) startPending(ctx context.Context) {
	for _, s := range slices.Clone(m.pending) {
		if s.name != "" {
			continue
		}
		if _, held := m.Lease.Held(); !held {
			return
		}
		instance, err := m.Cloud.StartInstance(ctx, spokecloud.StartRequest{
			IdempotencyToken: s.token, DataCentre: s.option.DataCentre, MachineClass: s.option.MachineClass,
			Service: s.service, Reclaimable: s.option.Reclaimable,
		})
		switch {
		case err == nil:
			s.name = instance.Name
		case spokeerror.KindOf[spokecloud.Kind](err) == spokecloud.KindRefused:
			m.refuse(s)
		}
	}
}

func (m *Manager) refuse(s *start) {
	key := s.option
	key.RecentlyRefused = false
	m.refused[key] = m.Clock.Now()
	m.pending = slices.DeleteFunc(m.pending, func(other *start) bool { return other == s })
}

// order tells each instance that was not told under this fencing number to
// load its model. Right before each order the lease is checked.
func (m *Manager) order(ctx context.Context, service string) {
	for _, line := range m.Registry.Servers() {
		instance := line.Instance()
		if instance.Service != service || m.ordered[instance.Name] == m.fence {
			continue
		}
		if _, held := m.Lease.Held(); !held {
			return
		}
		engine := spokeengine.Engine{URL: "http://" + instance.Address, Client: m.Client}
		bounded, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
		err := engine.Give(bounded, spokeengine.Order{Action: loadModel, Name: service, Fence: int64(m.fence)})
		cancel()
		if err != nil {
			m.Log.Info().Err(err).Str("server", instance.Name).Msg("Order was not taken.")
			continue
		}
		m.ordered[instance.Name] = m.fence
	}
}

// beginStop lets a server finish what it has.
func (m *Manager) beginStop(name string) {
	m.leaving[name] = m.Clock.Now()
	m.Registry.MarkForRemoval(name, spokebackend.Removal{Source: spokebackend.SourcePlan, Remaining: drainFor})
	m.DrainStartedFunc()
}

// finishStops gives back servers that have finished or had their time.
func (m *Manager) finishStops(ctx context.Context) {
	if len(m.leaving) == 0 {
		return
	}
	inUse := m.inUse()
	for name, since := range m.leaving {
		idle := inUse[name] == 0 && m.Clock.Now()-since > 2*defaultInterval
		if !idle && m.Clock.Now()-since < drainFor {
			continue
		}
		if _, held := m.Lease.Held(); !held {
			return
		}
		err := m.Cloud.StopInstance(ctx, spokecloud.StopRequest{Instance: name})
		if spokeerror.KindOf[spokecloud.Kind](err) != spokecloud.KindUnavailable {
			delete(m.leaving, name)
		}
	}
}

// inUse returns the requests under way at each server.
func (m *Manager) inUse() map[string]int {
	counts := make(map[string]int)
	for _, line := range m.Registry.Servers() {
		counts[line.Instance().Name] = line.Candidate().InFlight
	}
	return counts
}
