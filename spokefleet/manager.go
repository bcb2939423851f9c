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
	planInterval      = spokeclock.Second
	refusalRetryDelay = 10 * spokeclock.Second
	startTimeout      = 30 * spokeclock.Second
	drainTimeout      = 30 * spokeclock.Second
	orderTimeout      = 2 * spokeclock.Second
	// demandDecay limits the decrease of the demand to 5% per interval.
	demandDecay     = 0.95
	loadModelAction = "load_model"
)

// Manager plans the instances of the services that are declared as managed, and
// starts, stops and orders them while it holds the lease. Set its fields before
// Run.
type Manager struct {
	// Lease must be held to start, stop and order instances.
	Lease *spokelease.Lease
	// Cloud starts and stops instances.
	Cloud *spokecloud.Cloud
	// Registry provides the instances and their requests in flight.
	Registry *spokebackend.Registry
	// Store provides the configuration.
	Store *spokeconfig.Store
	// NoKeepAliveClient sends the orders to the engines. It must not reuse connections,
	// on which a late copy of an earlier response could pass for an order's.
	NoKeepAliveClient *http.Client
	// Clock is the time source. Nil means the real clock.
	Clock *spokeclock.Clock
	// DrainStartedFunc is called after a server has been marked for removal.
	DrainStartedFunc func()
	// Log receives the log messages.
	Log zerolog.Logger

	fence         spokelease.FencingNumber
	demand        map[string]float64
	refusedAt     map[InstanceOption]spokeclock.Millis
	pending       []*pendingStart
	drainingSince map[string]spokeclock.Millis
	orderedFence  map[string]spokelease.FencingNumber
}

// pendingStart is a request for an instance, from its first attempt until the
// instance is in the list.
type pendingStart struct {
	token     string
	service   string
	option    InstanceOption
	startedAt spokeclock.Millis
	name      string
}

// Run plans periodically until ctx is done.
func (m *Manager) Run(ctx context.Context) {
	spokeclock.Every(ctx, planInterval, func() { m.tick(ctx) })
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
			m.manageService(ctx, service, snapshot.Declaration().Prices)
		}
	}
	m.stopDrained(ctx)
}

// reset discards the state from an earlier term as lease holder. The running
// instances are known from the list.
func (m *Manager) reset(fence spokelease.FencingNumber) {
	m.fence = fence
	m.demand = make(map[string]float64)
	m.refusedAt = make(map[InstanceOption]spokeclock.Millis)
	m.pending = nil
	m.drainingSince = make(map[string]spokeclock.Millis)
	m.orderedFence = make(map[string]spokelease.FencingNumber)
}

func (m *Manager) manageService(ctx context.Context, service *spokeconfig.Service, prices []spokeconfig.Price) {
	m.startPending(ctx)
	running, slots, inFlight := m.observe(service.Name, prices)
	m.demand[service.Name] = max(float64(inFlight), demandDecay*m.demand[service.Name])
	m.sendLoadOrders(ctx, service.Name)
	requirement := CapacityRequirement{ConcurrentRequests: m.demand[service.Name], Slots: slots, MinInstances: service.MinInstances}
	plan := PlanChanges(requirement, m.startOptions(prices), running)
	if plan.Reason() != ReasonSufficient {
		m.Log.Info().Str("service", service.Name).Str("why", string(plan.Reason())).Int("starts", len(plan.Starts())).
			Int("stops", len(plan.Stops())).Float64("demand", requirement.ConcurrentRequests).Msg("Fleet changes planned.")
	}
	for _, option := range plan.Starts() {
		m.pending = append(m.pending, &pendingStart{token: uuid.NewString(), service: service.Name, option: option, startedAt: m.Clock.Now()})
	}
	m.startPending(ctx)
	if m.hasUnconfirmedStart(service.Name) {
		return
	}
	for _, name := range plan.Stops() {
		m.startDrain(name)
	}
}

// hasUnconfirmedStart reports whether a start has no response yet. Its instance
// may be in the list already and would then be counted twice.
func (m *Manager) hasUnconfirmedStart(service string) bool {
	return slices.ContainsFunc(m.pending, func(s *pendingStart) bool { return s.service == service && s.name == "" })
}

// observe returns the instances that run or are being started, the slots of an
// instance, and the requests in flight.
func (m *Manager) observe(service string, prices []spokeconfig.Price) (running []RunningInstance, slots, inFlight int) {
	for _, server := range m.Registry.Servers() {
		instance := server.Instance()
		if instance.Service != service || server.RemovalSource() != "" {
			continue
		}
		slots = max(slots, server.Candidate().Slots)
		inFlight += server.Candidate().InFlight
		if server.Candidate().Suspended {
			continue
		}
		running = append(running, RunningInstance{
			Name: instance.Name, DataCentre: instance.DataCentre, Reclaimable: instance.Reclaimable,
			Price: priceOf(prices, instance.DataCentre, instance.Reclaimable),
		})
	}
	m.removeSettledStarts()
	for _, s := range m.pending {
		if s.service == service {
			running = append(running, RunningInstance{Name: s.token, DataCentre: s.option.DataCentre, Reclaimable: s.option.Reclaimable, Price: s.option.Price})
		}
	}
	return running, max(1, slots), inFlight
}

// removeSettledStarts removes the pending starts whose instance is in the list or
// has not appeared in time.
func (m *Manager) removeSettledStarts() {
	now := m.Clock.Now()
	m.pending = slices.DeleteFunc(m.pending, func(s *pendingStart) bool {
		_, listed := m.Registry.Lookup(s.name)
		return listed || now-s.startedAt > startTimeout
	})
}

func priceOf(prices []spokeconfig.Price, dataCentre string, reclaimable bool) float64 {
	for _, price := range prices {
		if price.DataCentre == dataCentre && reclaimable {
			return price.ReclaimablePerHour
		}
		if price.DataCentre == dataCentre {
			return price.OnDemandPerHour
		}
	}
	return 0
}

func (m *Manager) startOptions(prices []spokeconfig.Price) []InstanceOption {
	var options []InstanceOption
	for _, price := range prices {
		options = append(options,
			m.withRefusal(InstanceOption{DataCentre: price.DataCentre, MachineClass: price.MachineClass, Reclaimable: true, Price: price.ReclaimablePerHour}),
			m.withRefusal(InstanceOption{DataCentre: price.DataCentre, MachineClass: price.MachineClass, Price: price.OnDemandPerHour}))
	}
	return options
}

func (m *Manager) withRefusal(o InstanceOption) InstanceOption {
	at, refused := m.refusedAt[o]
	o.RecentlyRefused = refused && m.Clock.Now()-at < refusalRetryDelay
	return o
}

// startPending requests the pending instances that are not yet confirmed. A start
// with an unknown outcome is retried with the same token, so that no second
// instance is started.
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
			m.recordRefusal(s)
		}
	}
}

func (m *Manager) recordRefusal(s *pendingStart) {
	key := s.option
	key.RecentlyRefused = false
	m.refusedAt[key] = m.Clock.Now()
	m.pending = slices.DeleteFunc(m.pending, func(other *pendingStart) bool { return other == s })
}

// sendLoadOrders orders each instance that has no order with the current fencing
// number to load its model. The lease is checked immediately before each order.
func (m *Manager) sendLoadOrders(ctx context.Context, service string) {
	for _, server := range m.Registry.Servers() {
		instance := server.Instance()
		if instance.Service != service || m.orderedFence[instance.Name] == m.fence {
			continue
		}
		if _, held := m.Lease.Held(); !held {
			return
		}
		engine := spokeengine.Client{URL: "http://" + instance.Address, HTTPClient: m.NoKeepAliveClient}
		bounded, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
		err := engine.SendOrder(bounded, spokeengine.Order{Action: loadModelAction, Name: service, FencingNumber: int64(m.fence)})
		cancel()
		if err != nil {
			m.Log.Warn().Err(err).Str("server", instance.Name).Msg("Order to load the model failed.")
			continue
		}
		m.orderedFence[instance.Name] = m.fence
	}
}

// startDrain stops new requests to a server and lets it finish those in flight.
func (m *Manager) startDrain(name string) {
	m.drainingSince[name] = m.Clock.Now()
	m.Registry.MarkForRemoval(name, spokebackend.Removal{Source: spokebackend.SourcePlan, Remaining: drainTimeout})
	m.DrainStartedFunc()
}

// stopDrained stops the servers that have finished their requests or reached the
// drain timeout.
func (m *Manager) stopDrained(ctx context.Context) {
	if len(m.drainingSince) == 0 {
		return
	}
	inFlight := m.inFlightByServer()
	for name, since := range m.drainingSince {
		idle := inFlight[name] == 0 && m.Clock.Now()-since > 2*planInterval
		if !idle && m.Clock.Now()-since < drainTimeout {
			continue
		}
		if _, held := m.Lease.Held(); !held {
			return
		}
		err := m.Cloud.StopInstance(ctx, spokecloud.StopRequest{Instance: name})
		if spokeerror.KindOf[spokecloud.Kind](err) != spokecloud.KindUnavailable {
			delete(m.drainingSince, name)
		}
	}
}

// inFlightByServer returns the number of requests in flight at each server.
func (m *Manager) inFlightByServer() map[string]int {
	counts := make(map[string]int)
	for _, server := range m.Registry.Servers() {
		counts[server.Instance().Name] = server.Candidate().InFlight
	}
	return counts
}
