package spokecore

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokelimit"
	"mulberryspoke.example/mulberryspoke/spokeretry"
	"mulberryspoke.example/mulberryspoke/spokeroute"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Core serves the requests of one entry instance. Set its fields before the
// first request. It is safe for concurrent use.
type Core struct {
	// Registry knows the backend servers.
	Registry *spokebackend.Registry
	// Pool enforces the workspaces' allotments.
	Pool *spokelimit.Pool
	// SendFunc sends an attempt and returns the head of its answer. Its errors
	// are of the kinds KindNotSent, KindNotRun, KindNoAnswer and KindSpoiled.
	SendFunc func(ctx context.Context, request *Request, attempt Attempt) (*Reply, error)
	// BegunFunc is called once for each request that has begun to run.
	BegunFunc func(workspace string)
	// WorkFunc counts the time that a request has kept a model engine busy.
	WorkFunc func(service string, work spokeclock.Millis)
	// ReachableFunc reports whether a data centre can be reached.
	ReachableFunc func(dataCentre string) bool
	// MembersFunc returns the number of entry instances that share the budget
	// for repeats, this one included.
	MembersFunc func() int
	// RetryRatio is the part of a service's requests that may be sent again.
	RetryRatio float64
	// RetryReserve is the number of repeats that all instances may save up.
	RetryReserve float64
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock
	// Counters count what happens.
	Counters *Counters
	// Log takes the log lines.
	Log zerolog.Logger

	mutex    sync.Mutex
	services map[string]*service
	active   atomic.Int64
}

// service is what belongs to one service.
type service struct {
	budget   spokeretry.Budget
	prefixes spokeroute.Prefixes
	answers  answerLengths

	mutex  sync.Mutex
	policy spokeroute.Policy
}

// Active returns the number of requests under way.
func (c *Core) Active() int64 { return c.active.Load() }

// Serve answers a request. It returns nil once the whole answer was handed on,
// and otherwise a *Refusal: of kind KindBroken when a part was, of any other
// kind when nothing was.
func (c *Core) Serve(ctx context.Context, request *Request, exchange Exchange) error {
	c.active.Add(1)
	defer c.active.Add(-1)
	ctx, span := spoketrace.Begin(ctx, "serve request")
	r := &run{core: c, request: request, exchange: exchange, service: c.service(request.Service.Name), started: c.Clock.Now()}
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
		s = &service{budget: spokeretry.Budget{Ratio: c.RetryRatio * budgetMargin, ReserveFunc: c.retryReserve}}
		s.policy.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Choices need no secrecy.
		c.services[name] = s
	}
	return s
}

// retryReserve is this instance's part of the repeats that may be saved up.
func (c *Core) retryReserve() float64 {
	return max(1, c.RetryReserve*budgetMargin/float64(max(1, c.MembersFunc())))
}

// routing returns the policy for a service that declares none of its own. When
// many instances choose by late knowledge, two random servers of a plain service
// are compared, so that they do not all take the same.
func routing(service *spokeconfig.Service, choosers int) spokeconfig.Routing {
	switch {
	case service.Routing != "" && service.Routing != spokeconfig.RoutingScore:
		return service.Routing
	case service.Kind == spokeconfig.ServiceModel:
		return spokeconfig.RoutingForecast
	case choosers > spokeroute.FewChoosers:
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
	return !c.ReachableFunc(dataCentre) && c.Clock.Now()-c.Registry.Answered(dataCentre) > freshAnswer
}

// budgetMargin keeps the repeats below their bound, as requests that are sent
// again by callers count as new ones at another instance only.
const budgetMargin = 0.7

// choose picks a backend server.
func (c *Core) choose(s *service, request *Request, avoid []string) spokeroute.Decision {
	shared, affinity := request.shared()
	candidates := c.Registry.Candidates(request.Service.Name, s.prefixes.Get(affinity))
	for i := range candidates {
		candidates[i].CutOff = c.cutOff(candidates[i].DataCentre)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.policy.Routing = routing(request.Service, c.MembersFunc())
	return s.policy.Choose(candidates, spokeroute.Request{
		Avoid: avoid, Prompt: request.PromptTokens, Shared: shared, Affinity: affinity, Choosers: c.MembersFunc(),
	})
}
