package spokeconfig

import "mulberryspoke.example/mulberryspoke/spokeclock"

// Declaration is the configuration that operators keep in version control.
type Declaration struct {
	// Version is the version of the format. Only 1 is supported.
	Version int `json:"version" yaml:"version"`
	// DataCentres are the data centres that the deployment runs in.
	DataCentres []DataCentre `json:"data_centres" yaml:"data_centres"`
	// Services are the services that callers may request.
	Services []Service `json:"services" yaml:"services"`
	// Workspaces are the workspaces that may send requests.
	Workspaces []Workspace `json:"workspaces" yaml:"workspaces"`
	// Prices are the prices of instances.
	Prices []Price `json:"prices,omitempty" yaml:"prices"`
	// CallerRoutes are the routes of requests that are addressed by a host and a
	// path instead of a service.
	CallerRoutes []CallerRoute `json:"caller_routes,omitempty" yaml:"caller_routes"`
	// Limits are the limits on callers' requests and connections. Nil means the
	// limits of the settings.
	Limits *CallerLimits `json:"limits,omitempty" yaml:"limits"`
}

// DataCentre is one data centre that instances run in.
type DataCentre struct {
	// Name is the name of the data centre.
	Name string `json:"name" yaml:"name"`
	// Region is the name of the region that it is in.
	Region string `json:"region" yaml:"region"`
}

// ServiceKind is the protocol of a service's backend servers.
type ServiceKind string

const (
	// ServiceModel means that model engines serve it.
	ServiceModel ServiceKind = "model"
	// ServicePlain means that plain HTTP servers serve it.
	ServicePlain ServiceKind = "plain"
)

// Routing is the policy that chooses a backend server.
type Routing string

const (
	// RoutingScore chooses by a weighted score of load, speed, cached prefixes and
	// long answers.
	RoutingScore Routing = "score"
	// RoutingRoundRobin chooses each backend server in turn.
	RoutingRoundRobin Routing = "round_robin"
	// RoutingLeastReportedLoad chooses the server that reports the least load.
	RoutingLeastReportedLoad Routing = "least_reported"
	// RoutingTwoChoices chooses the less loaded of two random servers.
	RoutingTwoChoices Routing = "two_choices"
	// RoutingEarliestFirstToken chooses the server with the earliest expected
	// first token.
	RoutingEarliestFirstToken Routing = "forecast"
)

// Service is the declaration of a service.
type Service struct {
	// Name is the name of the service. Callers of a model service send it as
	// their model.
	Name string `json:"name" yaml:"name"`
	// Kind is the protocol of its backend servers.
	Kind ServiceKind `json:"kind" yaml:"kind"`
	// FirstTokenTarget is the latency target of an answer's first token.
	FirstTokenTarget spokeclock.Millis `json:"first_token_target_millis,omitempty" yaml:"first_token_target_millis"`
	// TokenGapTarget is the target of the time between two tokens.
	TokenGapTarget spokeclock.Millis `json:"token_gap_target_millis,omitempty" yaml:"token_gap_target_millis"`
	// Timeout is the time limit of a whole request. Zero means two minutes.
	Timeout spokeclock.Millis `json:"timeout_millis,omitempty" yaml:"timeout_millis"`
	// LongAnswerTokens is the number of answer tokens from which an answer is
	// long. Zero means 256.
	LongAnswerTokens int `json:"long_answer_tokens,omitempty" yaml:"long_answer_tokens"`
	// Routing is the routing policy. Empty means RoutingScore.
	Routing Routing `json:"routing,omitempty" yaml:"routing"`
	// ReportsOutcomes means that its backend servers can be asked whether an
	// attempt ran. A server that was asked refuses the attempt from then on.
	ReportsOutcomes bool `json:"reports_outcomes,omitempty" yaml:"reports_outcomes"`
	// ChecksFencing means that its engines refuse outdated fencing numbers.
	ChecksFencing bool `json:"checks_orders,omitempty" yaml:"checks_orders"`
	// Managed means that the system starts and stops its instances.
	Managed bool `json:"managed,omitempty" yaml:"managed"`
	// MinInstances is the minimum number of instances of a managed service.
	MinInstances int `json:"least_instances,omitempty" yaml:"least_instances"`
	// Routes declare which requests of a plain service are idempotent.
	Routes []Route `json:"routes,omitempty" yaml:"routes"`
	// Engine describes its model engines. Nil means that nothing is declared.
	Engine *EngineSpec `json:"engine,omitempty" yaml:"engine"`
	// Scaling holds the bounds and prices of its instances. Nil means that no
	// instances are started or stopped.
	Scaling *Scaling `json:"scaling,omitempty" yaml:"scaling"`
}

// Route declares whether the requests of one method below one path are
// idempotent.
type Route struct {
	// Method is the HTTP method.
	Method string `json:"method" yaml:"method"`
	// Path is the prefix of the path within the service.
	Path string `json:"path" yaml:"path"`
	// Idempotent means that a request may run more than once.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
}

// Workspace is one customer of the deployment, with its keys and limits.
type Workspace struct {
	// Name is the name of the workspace.
	Name string `json:"name" yaml:"name"`
	// KeySHA256 is the hexadecimal SHA-256 of the workspace's key.
	KeySHA256 string `json:"key_sha256" yaml:"key_sha256"`
	// AdditionalKeysSHA256 are the hexadecimal SHA-256 of its other keys.
	AdditionalKeysSHA256 []string `json:"more_keys_sha256,omitempty" yaml:"more_keys_sha256"`
	// Priority is the priority under load, from 1 (lowest) to 9. Zero means 5.
	Priority int `json:"priority,omitempty" yaml:"priority"`
	// EngineRank is the order in which model engines serve workspaces, 0 first.
	EngineRank int `json:"rank,omitempty" yaml:"rank"`
	// Share is its weight in the fair sharing of a full service. Zero means 1.
	Share int `json:"share,omitempty" yaml:"share"`
	// RequestRate limits the requests per second. Zero means no limit.
	RequestRate float64 `json:"requests_per_second,omitempty" yaml:"requests_per_second"`
	// TokenRate limits the answer tokens per second. Zero means no limit.
	TokenRate float64 `json:"tokens_per_second,omitempty" yaml:"tokens_per_second"`
	// Allotment is the rate limit that all entry instances share. Nil means no
	// limit.
	Allotment *Allotment `json:"allotment,omitempty" yaml:"allotment"`
	// Concurrency limits the concurrent requests. Zero means no limit.
	Concurrency int `json:"concurrent_requests,omitempty" yaml:"concurrent_requests"`
	// OpaqueIdempotencyKeys accepts idempotency keys that contain no time. Their
	// records are never pruned.
	OpaqueIdempotencyKeys bool `json:"opaque_keys,omitempty" yaml:"opaque_keys"`
}

// Price is the price of one machine class in one data centre.
type Price struct {
	// DataCentre is the name of the data centre.
	DataCentre string `json:"data_centre" yaml:"data_centre"`
	// MachineClass is the name of the class.
	MachineClass string `json:"machine_class" yaml:"machine_class"`
	// ReclaimablePerHour is the hourly price of a reclaimable instance.
	ReclaimablePerHour float64 `json:"reclaimable_per_hour" yaml:"reclaimable_per_hour"`
	// OnDemandPerHour is the hourly price of an on-demand instance.
	OnDemandPerHour float64 `json:"on_demand_per_hour" yaml:"on_demand_per_hour"`
}

// MarkKind is the state that an operator requests for an instance.
type MarkKind string

const (
	// MarkDrain sends the instance no new requests.
	MarkDrain MarkKind = "drain"
	// MarkStop sends the instance no new requests and moves the running ones that
	// can be moved to other instances.
	MarkStop MarkKind = "stop"
	// MarkNone removes an earlier mark.
	MarkNone MarkKind = "none"
)

// Mark is an operator's request to drain or stop an instance.
type Mark struct {
	// Instance is the name of the instance.
	Instance string `json:"instance"`
	// Kind is the requested state.
	Kind MarkKind `json:"kind"`
}

// Allotment is a rate limit that all entry instances share: a token bucket that
// counts requests or their tokens.
type Allotment struct {
	// Rate is the limit per second, in tokens or requests.
	Rate float64 `json:"per_second" yaml:"per_second"`
	// Burst is the largest amount that may be saved up, in tokens or requests.
	Burst float64 `json:"burst" yaml:"burst"`
	// CountsTokens means that a request costs its declared tokens instead of 1.
	CountsTokens bool `json:"counts_tokens,omitempty" yaml:"counts_tokens"`
	// DefaultTokens is the cost of a request that declares no tokens.
	DefaultTokens float64 `json:"plain_tokens,omitempty" yaml:"plain_tokens"`
}

// Cost returns how much of the allotment a request with that many declared
// tokens uses. Zero tokens mean that it declares none.
func (a *Allotment) Cost(tokens int) float64 {
	switch {
	case !a.CountsTokens:
		return 1
	case tokens == 0:
		return a.DefaultTokens
	default:
		return float64(tokens)
	}
}
