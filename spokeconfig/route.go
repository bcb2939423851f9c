package spokeconfig

import (
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// RouteKind tells what may be repeated of a route's requests.
type RouteKind string

const (
	// RouteIdempotent may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteAtMostOnce may run at most once.
	RouteAtMostOnce RouteKind = "once"
	// RouteStream is answered by a series of events and may run at most once,
	// unless it may be resumed.
	RouteStream RouteKind = "stream"
)

// CallerRoute tells how the requests of one host below one path are served.
type CallerRoute struct {
	// Name names the route.
	Name string `json:"name" yaml:"name"`
	// Host is the host that callers address.
	Host string `json:"host" yaml:"host"`
	// Path is the beginning of the path; it begins and ends with a slash.
	Path string `json:"path" yaml:"path"`
	// Kind tells what may be repeated.
	Kind RouteKind `json:"kind" yaml:"kind"`
	// Resumable says that a stream may go on at another backend server.
	Resumable bool `json:"resumable,omitempty" yaml:"resumable"`
	// Public says that requests carry no key.
	Public bool `json:"open,omitempty" yaml:"open"`
	// Timeout bounds a whole request. Zero means the caller's deadline alone.
	Timeout spokeclock.Millis `json:"timeout_millis,omitempty" yaml:"timeout_millis"`
	// LatencyTarget is the time to the whole answer, or to a stream's first
	// event.
	LatencyTarget spokeclock.Millis `json:"latency_target_millis,omitempty" yaml:"latency_target_millis"`
	// EventGapTarget is the longest pause between two events.
	EventGapTarget spokeclock.Millis `json:"gap_target_millis,omitempty" yaml:"gap_target_millis"`
	// Priority orders routes, 0 first.
	Priority int `json:"priority,omitempty" yaml:"priority"`
	// MaxAttempts is the largest number of backend servers that may run one
	// request. Zero means one.
	MaxAttempts int `json:"max_attempts,omitempty" yaml:"max_attempts"`
	// Targets are the services that share the requests.
	Targets []RouteTarget `json:"targets" yaml:"targets"`
}

// RouteTarget is a service's part of a route's requests.
type RouteTarget struct {
	// Service names the service.
	Service string `json:"service" yaml:"service"`
	// Weight is its part against the other targets'.
	Weight int `json:"weight" yaml:"weight"`
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	// HeaderBytes bounds a request's headers.
	HeaderBytes int `json:"header_bytes" yaml:"header_bytes"`
	// BodyBytes bounds a request's body.
	BodyBytes int64 `json:"body_bytes" yaml:"body_bytes"`
	// HeaderTimeout bounds the time in which headers must arrive.
	HeaderTimeout spokeclock.Millis `json:"header_timeout_millis" yaml:"header_timeout_millis"`
	// IdleTimeout bounds the time for which a connection may be idle.
	IdleTimeout spokeclock.Millis `json:"idle_timeout_millis" yaml:"idle_timeout_millis"`
}

// EngineSpec are what the platform declares of a service's model engines.
type EngineSpec struct {
	// Slots is how many requests an engine runs at once.
	Slots int `json:"slots" yaml:"slots"`
	// CacheTokens is the size of its KV cache.
	CacheTokens int `json:"cache_tokens" yaml:"cache_tokens"`
	// CanMoveCache says that its KV cache can be moved to another engine.
	CanMoveCache bool `json:"moves,omitempty" yaml:"moves"`
	// TokensPerEvent is how many tokens an event of a stream holds.
	TokensPerEvent int `json:"tokens_per_event,omitempty" yaml:"tokens_per_event"`
}

// Scaling bounds and prices a service whose instances may be ordered.
type Scaling struct {
	// MinInstances and Most bound the instances in each data centre.
	MinInstances int `json:"least" yaml:"least"`
	MaxInstances int `json:"most" yaml:"most"`
	// BootTime is the time from an order until the instance serves.
	BootTime spokeclock.Millis `json:"boot_millis" yaml:"boot_millis"`
	// ReclaimablePriceRatio is the part of the price that a reclaimable instance
	// costs. Zero means that there are none.
	ReclaimablePriceRatio float64 `json:"reclaimable_price" yaml:"reclaimable_price"`
	// Prices are the costs of an instance by data centre.
	Prices map[string]float64 `json:"prices" yaml:"prices"`
}

// routeIndex finds routes by host and path.
type routeIndex map[string]*CallerRoute

func indexRoutes(routes []CallerRoute) routeIndex {
	index := make(routeIndex, len(routes))
	for i := range routes {
		index[routes[i].Host+routes[i].Path] = &routes[i]
	}
	return index
}

// find returns the route of the host with the longest path that begins path.
func (x routeIndex) find(host, path string) (*CallerRoute, bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := x[host+path[:end+1]]; ok {
			return route, true
		}
	}
	return nil, false
}

// Route returns the route of a request.
func (s *Snapshot) Route(host, path string) (*CallerRoute, bool) {
	return s.routes.find(host, path)
}

// Limits returns what callers may send, or the zero value if nothing is
// declared.
func (s *Snapshot) Limits() CallerLimits {
	if s.declaration.Limits == nil {
		return CallerLimits{}
	}
	return *s.declaration.Limits
}
