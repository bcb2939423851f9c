package spokecore

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokeadmit"
	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokelimit"
	"mulberryspoke.example/mulberryspoke/spokeretry"
	"mulberryspoke.example/mulberryspoke/spokeroute"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Core serves the requests of one entry instance. Set its fields before the
// first request; those that may be nil or zero say so. It is safe for
// concurrent use.
type Core struct {
	// Registry knows the backend servers.
	Registry *spokebackend.Registry
	// Pool enforces the workspaces' allotments, which all entry instances share.
	// Nil enforces none.
	Pool *spokelimit.AllotmentLimiter
	// Limiter enforces this instance's part of the workspaces' rates. Nil
	// enforces none.
	Limiter *spokelimit.Limiter
	// MaxWaitFunc returns how long a request may wait for room at its service.
	// Nil sends all requests on at once.
	MaxWaitFunc func(request *Request) spokeclock.Millis
	// DisableShortPriority gives quick requests no priority over long ones while they
	// wait for room.
	DisableShortPriority bool
	// ServerWaitTimeout is how long a request waits for a live backend server. Zero
	// refuses it at once.
	ServerWaitTimeout spokeclock.Millis
	// ResumeWaitTimeout is the same for a request whose answer has begun.
	ResumeWaitTimeout spokeclock.Millis
	// MoveOnRemoval moves answers away from backend servers that leave before
	// they could end there.
	MoveOnRemoval bool
	// MoveOnSlowdown moves answers away from backend servers that have slowed down.
	MoveOnSlowdown bool
	// RequestStartedFunc is called once for each request that has begun to run. It may be
	// nil.
	RequestStartedFunc func(workspace string)
	// AddEngineTimeFunc counts the time that a request has kept a model engine busy. It
	// may be nil.
	AddEngineTimeFunc func(service string, work spokeclock.Millis)
	// ReachableFunc reports whether a data centre can be reached. Nil means that
	// all can.
	ReachableFunc func(dataCentre string) bool
	// MemberCountFunc returns the number of entry instances that share limits and
	// the budget for repeats, this one included. Nil means one.
	MemberCountFunc func() int
	// RetryRatio is the part of a service's requests that may be sent again.
	// Zero leaves the budget's own ratio and reserve.
	RetryRatio float64
	// RetryBurst is the number of repeats that all instances may save up.
	RetryBurst float64
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// Counters count what happens.
	Counters *Counters
	// Log takes the log lines.
	Log zerolog.Logger

	placements placements
	mutex      sync.Mutex
	services   map[string]*service
	active     atomic.Int64
}

// service is what belongs to one service.
type service struct {
	budget   spokeretry.Budget
	queue    spokeadmit.Queue
	prefixes spokeroute.PrefixLocations
	answers  answerLengths

	mutex  sync.Mutex
	policy spokeroute.Policy
}

// ActiveRequests returns the number of requests under way.
func (c *Core) ActiveRequests() int64 { return c.active.Load() }

// Serve answers a request. It returns nil once the whole answer was handed on,
// and otherwise a *Refusal: of kind KindBroken when a part was, of any other
// kind when nothing was.
func (c *Core) Serve(ctx context.Context, request *Request, exchange Callbacks) error {
	c.active.Add(1)
	defer c.active.Add(-1)
	ctx, span := spoketrace.Begin(ctx, "serve request")
	r := &run{core: c, request: request, exchange: exchange, service: c.service(request.Service.Name), started: c.Clock.Now()}
	r.shared, r.affinity = request.shared()
	refusal := r.serve(ctx)
	r.report(refusal)
	if refusal == nil {
		span.End(nil)
		return nil
	}
	span.End(refusal)
	return refusal
}

// service returns what belongs to a service, made at its first request.
func (c *Core) service(name string) *service {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.services == nil {
		c.services = make(map[string]*service)
	}
	s, known := c.services[name]
	if !known {
		s = &service{}
		if c.RetryRatio > 0 {
			s.budget.Ratio = c.RetryRatio * budgetMargin
			s.budget.BurstFunc = c.retryReserve
		}
		s.queue.Clock = c.Clock
		s.queue.CapacityFunc = func() spokeadmit.Capacity { return c.capacity(name) }
		s.policy.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Choices need no secrecy.
		c.services[name] = s
	}
	return s
}

// capacity is what a service's servers can take besides what peers send them.
func (c *Core) capacity(service string) spokeadmit.Capacity {
	capacity := c.Registry.Capacity(service)
	return spokeadmit.Capacity{
		Slots:     capacity.Slots() - capacity.PeerInFlight().Requests,
		LongSlots: capacity.LongSlots() - capacity.PeerInFlight().LongRequests,
	}
}

// members returns the number of entry instances, at least one.
func (c *Core) members() int {
	if c.MemberCountFunc == nil {
		return 1
	}
	return max(1, c.MemberCountFunc())
}

// retryReserve is this instance's part of the repeats that may be saved up.
func (c *Core) retryReserve() float64 {
	return max(1, c.RetryBurst*budgetMargin/float64(c.members()))
}

// routing returns the policy for a service that declares none of its own. Where
// the lengths of prompts are known, the time of the first token is forecast.
// When many instances choose by late knowledge, two random servers are compared,
// so that they do not all take the same.
func routing(request *Request, choosers int) spokeconfig.Routing {
	declared := request.Service.Routing
	switch {
	case declared != "" && declared != spokeconfig.RoutingScore:
		return declared
	case request.PromptTokens > 0 && request.Service.Kind == spokeconfig.ServiceModel:
		return spokeconfig.RoutingForecast
	case choosers > spokeroute.MaxFullScanInstances:
		return spokeconfig.RoutingTwoChoices
	default:
		return spokeconfig.RoutingScore
	}
}

// freshAnswer is the age up to which an answer shows that its data centre can
// be reached, whatever its entry instances do.
const freshAnswer = 500 * spokeclock.Millis(1)

// cutOff reports whether a data centre seems to be out of reach: none of its
// entry instances is heard, and none of its backend servers has just answered.
func (c *Core) cutOff(dataCentre string) bool {
	if c.ReachableFunc == nil || c.ReachableFunc(dataCentre) {
		return false
	}
	return c.Clock.Now()-c.Registry.LastResponseAt(dataCentre) > freshAnswer
}

// markCutOff looks at each data centre once, as there are many servers in each.
func (c *Core) markCutOff(candidates []spokeroute.Candidate) {
	known := make(map[string]bool)
	for i := range candidates {
		dataCentre := candidates[i].DataCentre
		cutOff, looked := known[dataCentre]
		if !looked {
			cutOff = c.cutOff(dataCentre)
			known[dataCentre] = cutOff
		}
		candidates[i].DataCentreUnreachable = cutOff
	}
}

// budgetMargin keeps the repeats below their bound, as requests that are sent
// again by callers count as new ones at another instance only.
const budgetMargin = 0.7

// choose picks a backend server and notes why. Held says that a long answer may
// take its part of a server's slots only.
func (r *run) choose(held bool) spokeroute.Decision {
	c, s := r.core, r.service
	candidates := c.Registry.Candidates(r.request.Service.Name, s.prefixes.Server(r.affinity))
	c.markCutOff(candidates)
	members := c.members()
	s.mutex.Lock()
	s.policy.Routing = routing(r.request, members)
	decision := s.policy.Choose(candidates, spokeroute.Request{
		LongAnswer: held, TriedServers: r.tried, PromptTokens: r.request.PromptTokens, SharedPrefixTokens: r.shared, PrefixKey: r.affinity, EntryInstances: members,
	})
	s.mutex.Unlock()
	c.placements.put(Placement{at: c.Clock.Now(), workspace: r.request.workspaceName(), service: r.request.Service.Name, decision: decision})
	return decision
}
