package spokeconfig

import (
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// RouteKind is whether and how the requests of a route may be retried.
type RouteKind string

const (
	// RouteIdempotent means that a request may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteAtMostOnce means that a request may run at most once.
	RouteAtMostOnce RouteKind = "once"
	// RouteStream means that a request is answered by a stream of events. It may
	// run at most once unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// CallerRoute declares how the requests to one host below one path are served.
type CallerRoute struct {
	// Name is the name of the route.
	Name string `json:"name" yaml:"name"`
	// Host is the host of the requests.
	Host string `json:"host" yaml:"host"`
	// Path is the prefix of the path. It starts and ends with a slash.
	Path string `json:"path" yaml:"path"`
	// Kind is whether and how requests may be retried.
	Kind RouteKind `json:"kind" yaml:"kind"`
	// Resumable means that another backend server may resume a stream.
	Resumable bool `json:"resumable,omitempty" yaml:"resumable"`
	// Public means that requests need no key.
	Public bool `json:"open,omitempty" yaml:"open"`
	// Timeout is the time limit of a whole request. Zero means that only the
	// caller's deadline applies.
	Timeout spokeclock.Millis `json:"timeout_millis,omitempty" yaml:"timeout_millis"`
	// LatencyTarget is the target of the time to the whole answer, or to the
	// first event of a stream.
	LatencyTarget spokeclock.Millis `json:"latency_target_millis,omitempty" yaml:"latency_target_millis"`
	// EventGapTarget is the target of the time between two events.
	EventGapTarget spokeclock.Millis `json:"gap_target_millis,omitempty" yaml:"gap_target_millis"`
	// Priority is the order of routes, 0 first.
	Priority int `json:"priority,omitempty" yaml:"priority"`
	// MaxAttempts is the maximum number of backend servers that may run one
	// request. Zero means one.
	MaxAttempts int `json:"max_attempts,omitempty" yaml:"max_attempts"`
	// Targets are the services that the requests are distributed over.
	Targets []RouteTarget `json:"targets" yaml:"targets"`
}

// RouteTarget is a service that serves a share of a route's requests.
type RouteTarget struct {
	// Service is the name of the service.
	Service string `json:"service" yaml:"service"`
	// Weight is its share in proportion to the weights of the other targets.
	Weight int `json:"weight" yaml:"weight"`
}

// CallerLimits are the limits on callers' requests and connections.
type CallerLimits struct {
	// HeaderBytes is the maximum size of a request's headers.
	HeaderBytes int `json:"header_bytes" yaml:"header_bytes"`
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64 `json:"body_bytes" yaml:"body_bytes"`
	// HeaderTimeout is the time limit for reading the headers.
	HeaderTimeout spokeclock.Millis `json:"header_timeout_millis" yaml:"header_timeout_millis"`
	// IdleTimeout is the longest time for which a connection may be idle.
	IdleTimeout spokeclock.Millis `json:"idle_timeout_millis" yaml:"idle_timeout_millis"`
}

// EngineSpec holds the properties of a service's model engines that the platform
// declares.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int `json:"slots" yaml:"slots"`
	// CacheTokens is the size of its KV cache in tokens.
	CacheTokens int `json:"cache_tokens" yaml:"cache_tokens"`
	// CanMoveCache means that KV cache entries can be moved to another engine.
	CanMoveCache bool `json:"moves,omitempty" yaml:"moves"`
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int `json:"tokens_per_event,omitempty" yaml:"tokens_per_event"`
}

// Scaling holds the bounds and prices of a service whose instances are started
// and stopped by the system.
type Scaling struct {
	// MinInstances and MaxInstances are the bounds of the number of instances in
	// each data centre.
	MinInstances int `json:"least" yaml:"least"`
	MaxInstances int `json:"most" yaml:"most"`
	// BootTime is the time from ordering an instance until it serves requests.
	BootTime spokeclock.Millis `json:"boot_millis" yaml:"boot_millis"`
	// ReclaimablePriceRatio is the price of a reclaimable instance as a fraction
	// of the full price. Zero means that there are no reclaimable instances.
	ReclaimablePriceRatio float64 `json:"reclaimable_price" yaml:"reclaimable_price"`
	// Prices are the full prices of an instance by data centre.
	Prices map[string]float64 `json:"prices" yaml:"prices"`
}

// routeIndex holds the routes by host and path prefix.
type routeIndex map[string]*CallerRoute

func indexRoutes(routes []CallerRoute) routeIndex {
	index := make(routeIndex, len(routes))
	for i := range routes {
		index[routes[i].Host+routes[i].Path] = &routes[i]
	}
	return index
}

// find returns the route of a host whose path is the longest prefix of path.
func (x routeIndex) find(host, path string) (*CallerRoute, bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := x[host+path[:end+1]]; ok {
			return route, true
		}
	}
	return nil, false
}

// Route returns the route of requests to a host and path.
func (s *Snapshot) Route(host, path string) (*CallerRoute, bool) {
	return s.routes.find(host, path)
}

// Limits returns the declared limits on callers, or the zero value if none are
// declared.
func (s *Snapshot) Limits() CallerLimits {
	if s.declaration.Limits == nil {
		return CallerLimits{}
	}
	return *s.declaration.Limits
}
