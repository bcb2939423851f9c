package spokecore

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokeadmit"
	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokebackoff"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokefleet"
	"mulberryspoke.example/mulberryspoke/spokelimit"
	"mulberryspoke.example/mulberryspoke/spokelocality"
	"mulberryspoke.example/mulberryspoke/spokeorigin"
	"mulberryspoke.example/mulberryspoke/spokequarantine"
	"mulberryspoke.example/mulberryspoke/spokeretry"
	"mulberryspoke.example/mulberryspoke/spokerollout"
	"mulberryspoke.example/mulberryspoke/spokeroute"
	"mulberryspoke.example/mulberryspoke/spokescarcity"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Core serves the requests of one entry instance. Its fields must be set before
// the first request; those that may be nil or zero are marked. It is safe for
// concurrent use.
type Core struct {
	// Registry holds the backend servers.
	Registry *spokebackend.Registry
	// Pool enforces the workspaces' allotments, which all entry instances share.
	// Nil disables allotments.
	Pool *spokelimit.AllotmentLimiter
	// Backoff schedules when callers come back that are refused for want of room. Nil means
	// that the allotment's estimate and constants do.
	Backoff *spokebackoff.Schedule
	// Limiter enforces this instance's share of the workspaces' rate limits. Nil
	// disables them.
	Limiter *spokelimit.Limiter
	// MaxWaitFunc returns how long a request may wait for capacity at its
	// service. Nil disables admission control.
	MaxWaitFunc func(request *Request) spokeclock.Millis
	// DisableShortPriority admits requests with short and with long answers at
	// the same priority.
	DisableShortPriority bool
	// ServerWaitTimeout is how long a request waits for a live backend server.
	// With zero it is refused immediately.
	ServerWaitTimeout spokeclock.Millis
	// ResumeWaitTimeout is the same for a request whose answer has started.
	ResumeWaitTimeout spokeclock.Millis
	// MoveOnRemoval moves an answer to another server if its server is about to
	// be removed and the answer is not expected to finish there in time.
	MoveOnRemoval bool
	// MoveOnSlowdown moves an answer to another server if its server has slowed
	// down.
	MoveOnSlowdown bool
	// Quarantine bars requests and parts of prompts that crash backend servers. Nil
	// disables it.
	Quarantine *spokequarantine.Quarantine
	// RefusesConnectionsFunc reports whether nothing listens at a backend server's
	// address. Nil means that it can't be told, so that no crash is recorded.
	RefusesConnectionsFunc func(ctx context.Context, server spokecloud.Instance) bool
	// Origins keeps at which version of the servers' software streams began. Nil means
	// that callers can't resume streams; within an answer, a stream goes on at the
	// version that began it in any case.
	Origins *spokeorigin.Records
	// FilterVersionsFunc returns which software versions of a service may serve a request
	// for now. Draw is a random number from 0 up to 1 that stays with the request,
	// failedVersion the version at which an attempt of it has failed, or empty. Nil means
	// all versions.
	FilterVersionsFunc func(service string, draw float64, failedVersion string) spokerollout.Filter
	// RecordAnswerFunc receives how the answers of attempts go. It is called several times
	// for one attempt, each time with what has become known. It may be nil.
	RecordAnswerFunc func(answer spokerollout.Answer)
	// AdmissionFunc decides whether a request is sent to the server that has been chosen for
	// it by the forecast, before its first attempt. It isn't called for the rest of a stream.
	// Nil means that every request is sent.
	AdmissionFunc func(request spokescarcity.Request) spokescarcity.Verdict
	// RecordAdmittedFunc receives how requests go that AdmissionFunc has admitted. It must
	// be set if AdmissionFunc is.
	RecordAdmittedFunc func(service string, admitted *spokescarcity.AdmittedRequest, event spokescarcity.Event)
	// RequestStartedFunc is called once for each request that a server has
	// started to run. It may be nil.
	RequestStartedFunc func(workspace string)
	// AddEngineTimeFunc is called once for each request with the time for which
	// it is expected to keep a model engine busy. It may be nil.
	AddEngineTimeFunc func(service string, busy spokeclock.Millis)
	// ReachableFunc reports whether a data centre can be reached. Nil means that
	// all can.
	ReachableFunc func(dataCentre string) bool
	// Locality decides which requests may leave the data centre. Nil means that another
	// data centre costs all requests the same.
	Locality *spokelocality.Router
	// DataCentreDemandFunc returns the work of a service by the data centre whose entry
	// instances received it. It must be set if Locality is.
	DataCentreDemandFunc func(service string) map[string]spokefleet.DataCentreDemand
	// MemberCountFunc returns the number of entry instances that share the limits
	// and the retry budget, including this one. Nil means one.
	MemberCountFunc func() int
	// RetryRatio is the number of retries allowed per request of a service. Zero
	// selects the default ratio and burst of the retry budget.
	RetryRatio float64
	// RetryBurst is the number of unused retries that all instances together may
	// accumulate.
	RetryBurst float64
	// Clock is the source of time. Nil means the real clock.
	Clock *spokeclock.Clock
	// Counters are the metrics to update.
	Counters *Counters
	// Log is the destination of log lines.
	Log zerolog.Logger

	placements     placementLog
	crashChecks    crashChecks
	mutex          sync.Mutex
	services       map[string]*serviceState
	activeRequests atomic.Int64
}

// serviceState is the state that a core keeps for one service.
type serviceState struct {
	retryBudget     spokeretry.Budget
	admissionQueue  spokeadmit.Queue
	prefixLocations spokeroute.PrefixLocations
	answerLengths   answerLengthEstimator
	answered        answeredRates
	// lastAnswerAt is when the last answer was complete, in milliseconds, or zero.
	lastAnswerAt atomic.Int64

	mutex         sync.Mutex
	routingPolicy spokeroute.Policy
}

// ActiveRequests returns the number of requests that are being served.
func (c *Core) ActiveRequests() int64 { return c.activeRequests.Load() }

// Serve serves a request. It returns nil after the complete answer was
// forwarded, and otherwise a *Refusal: of KindAnswerBroken if part of an answer
// was forwarded, of any other kind if nothing was.
func (c *Core) Serve(ctx context.Context, request *Request, callbacks Callbacks) error {
	c.activeRequests.Add(1)
	defer c.activeRequests.Add(-1)
	ctx, span := spoketrace.StartSpan(ctx, "serve request")
	r := &requestRun{core: c, request: request, callbacks: callbacks, service: c.serviceState(request.Service.Name), startedAt: c.Clock.Now(), sharedPartKeys: request.sharedPartKeys(), subjects: request.subjects()}
	if c.FilterVersionsFunc != nil {
		r.versionDraw = rand.Float64() //nolint:gosec // Choices need no secrecy.
	}
	r.sharedPrefixTokens, r.prefixKey = request.sharedPrefix()
	refusal := r.serve(ctx)
	r.recordResult(refusal)
	if refusal == nil {
		span.End(nil)
		return nil
	}
	span.End(refusal)
	return refusal
}

// serviceState returns the state of a service. It is created at the first
// request.
func (c *Core) serviceState(name string) *serviceState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.services == nil {
		c.services = make(map[string]*serviceState)
	}
	s, exists := c.services[name]
	if !exists {
		s = &serviceState{}
		if c.RetryRatio > 0 {
			s.retryBudget.Ratio = c.RetryRatio * retryBudgetMargin
			s.retryBudget.BurstFunc = c.localRetryBurst
		}
		s.admissionQueue.Clock = c.Clock
		s.admissionQueue.CapacityFunc = func() spokeadmit.Capacity { return c.localCapacity(name) }
		s.routingPolicy.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Choices need no secrecy.
		c.services[name] = s
	}
	return s
}

// localCapacity returns the capacity of a service's servers that other entry
// instances are not using.
func (c *Core) localCapacity(service string) spokeadmit.Capacity {
	capacity := c.Registry.Capacity(service)
	return spokeadmit.Capacity{
		Slots:     capacity.Slots() - capacity.PeerInFlight().Requests,
		LongSlots: capacity.LongSlots() - capacity.PeerInFlight().LongRequests,
	}
}

// memberCount returns the number of entry instances, at least one.
func (c *Core) memberCount() int {
	if c.MemberCountFunc == nil {
		return 1
	}
	return max(1, c.MemberCountFunc())
}

// localRetryBurst returns this instance's share of RetryBurst.
func (c *Core) localRetryBurst() float64 {
	return max(1, c.RetryBurst*retryBudgetMargin/float64(c.memberCount()))
}

// routingOf returns the routing policy of a request. If its service declares
// none and the prompt length is known, the time to first token is forecast. If
// many entry instances choose on out-of-date load data, each compares two random
// servers, so that they do not all choose the same one.
func routingOf(request *Request, entryInstances int) spokeconfig.Routing {
	declared := request.Service.Routing
	switch {
	case declared != "" && declared != spokeconfig.RoutingScore:
		return declared
	case request.PromptTokens > 0 && request.Service.Kind == spokeconfig.ServiceModel:
		return spokeconfig.RoutingEarliestFirstToken
	case entryInstances > spokeroute.MaxFullScanInstances:
		return spokeconfig.RoutingTwoChoices
	default:
		return spokeconfig.RoutingScore
	}
}

// recentResponse is the age up to which a backend server's response shows that
// its data centre is reachable, even if none of its entry instances is.
const recentResponse = 500 * spokeclock.Millis(1)

// isUnreachable reports whether a data centre seems unreachable: none of its
// entry instances can be reached, and none of its backend servers has responded
// recently.
func (c *Core) isUnreachable(dataCentre string) bool {
	if c.ReachableFunc == nil || c.ReachableFunc(dataCentre) {
		return false
	}
	return c.Clock.Now()-c.Registry.LastResponseAt(dataCentre) > recentResponse
}

// markUnreachable sets DataCentreUnreachable of the candidates. It checks each
// data centre only once, as there are many servers in each.
func (c *Core) markUnreachable(candidates []spokeroute.Candidate) {
	checked := make(map[string]bool)
	for i := range candidates {
		dataCentre := candidates[i].DataCentre
		unreachable, isChecked := checked[dataCentre]
		if !isChecked {
			unreachable = c.isUnreachable(dataCentre)
			checked[dataCentre] = unreachable
		}
		candidates[i].DataCentreUnreachable = unreachable
	}
}

// retryBudgetMargin keeps the retries below the configured bound, as a request
// that its caller retries at another entry instance counts as a new one there.
const retryBudgetMargin = 0.7

// chooseServer chooses a backend server and records the placement. If
// applyLongShare is set, the request may only use the share of a server's slots
// that is open to long answers.
func (r *requestRun) chooseServer(applyLongShare bool) spokeroute.Decision {
	c, s := r.core, r.service
	candidates := c.Registry.Candidates(r.request.Service.Name, s.prefixLocations.Server(r.prefixKey))
	c.markUnreachable(candidates)
	candidates = r.filterVersions(candidates)
	entryInstances := c.memberCount()
	routeRequest := spokeroute.Request{
		LongAnswer: applyLongShare, TriedServers: r.triedServers, PromptTokens: r.request.PromptTokens, SharedPrefixTokens: r.sharedPrefixTokens, PrefixKey: r.prefixKey, EntryInstances: entryInstances,
		IsResumable: r.request.isResumable(), Target: r.request.Route.LatencyTarget,
	}
	if version := r.softwareVersion.Load(); version != nil {
		routeRequest.SoftwareVersion, routeRequest.IsResumed = *version, true
	}
	if c.Origins != nil && routeRequest.IsResumable {
		routeRequest.PreferredVersion, routeRequest.HasPreferredVersion = c.Origins.PreferredVersion(r.request.Service.Name)
	}
	routing := routingOf(r.request, entryInstances)
	if routing == spokeconfig.RoutingEarliestFirstToken {
		r.applyLocality(candidates, &routeRequest)
	}
	s.mutex.Lock()
	s.routingPolicy.Routing = routing
	decision := s.routingPolicy.Choose(candidates, routeRequest)
	s.mutex.Unlock()
	c.placements.add(Placement{chosenAt: c.Clock.Now(), workspace: r.request.workspaceName(), service: r.request.Service.Name, decision: decision})
	return decision
}
