package spokeconfig

import "mulberryspoke.example/mulberryspoke/spokeclock"

// Declaration is what operators keep in version control.
type Declaration struct {
	// Version is the version of the format. Only 1 is known.
	Version int `json:"version" yaml:"version"`
	// DataCentres are the places where the deployment runs.
	DataCentres []DataCentre `json:"data_centres" yaml:"data_centres"`
	// Services are what callers may ask for.
	Services []Service `json:"services" yaml:"services"`
	// Workspaces are who may call.
	Workspaces []Workspace `json:"workspaces" yaml:"workspaces"`
	// Prices are the costs of instances.
	Prices []Price `json:"prices,omitempty" yaml:"prices"`
	// CallerRoutes tell how requests are served that name a host and a path
	// instead of a service.
	CallerRoutes []CallerRoute `json:"caller_routes,omitempty" yaml:"caller_routes"`
	// Limits bound what callers may send. Nil means the settings' limits.
	Limits *CallerLimits `json:"limits,omitempty" yaml:"limits"`
}

// DataCentre is one place where instances run.
type DataCentre struct {
	// Name names the data centre.
	Name string `json:"name" yaml:"name"`
	// Region names the region it is in.
	Region string `json:"region" yaml:"region"`
}

// ServiceKind tells how a service is spoken to.
type ServiceKind string

const (
	// ServiceModel is served by model engines.
	ServiceModel ServiceKind = "model"
	// ServicePlain is served by plain HTTP services.
	ServicePlain ServiceKind = "plain"
)

// Routing names a policy that chooses a backend server.
type Routing string

const (
	// RoutingScore weighs load, speed, cached prefixes and long answers.
	RoutingScore Routing = "score"
	// RoutingRoundRobin takes each backend server in turn.
	RoutingRoundRobin Routing = "round_robin"
	// RoutingLeastReportedLoad takes the least reported load.
	RoutingLeastReportedLoad Routing = "least_reported"
	// RoutingTwoChoices takes the less loaded of two at random.
	RoutingTwoChoices Routing = "two_choices"
	// RoutingEarliestFirstToken takes the earliest expected first token.
	RoutingEarliestFirstToken Routing = "forecast"
)

// Service is one service.
type Service struct {
	// Name names the service; a model's callers give it as their model.
	Name string `json:"name" yaml:"name"`
	// Kind tells how the service is spoken to.
	Kind ServiceKind `json:"kind" yaml:"kind"`
	// FirstTokenTarget is the latency target of the first token.
	FirstTokenTarget spokeclock.Millis `json:"first_token_target_millis,omitempty" yaml:"first_token_target_millis"`
	// TokenGapTarget is the latency target between two tokens.
	TokenGapTarget spokeclock.Millis `json:"token_gap_target_millis,omitempty" yaml:"token_gap_target_millis"`
	// Timeout bounds a whole request. Zero means two minutes.
	Timeout spokeclock.Millis `json:"timeout_millis,omitempty" yaml:"timeout_millis"`
	// LongAnswerTokens is the answer length from which a request counts as
	// long. Zero means 256.
	LongAnswerTokens int `json:"long_answer_tokens,omitempty" yaml:"long_answer_tokens"`
	// Routing chooses the policy. Empty means score.
	Routing Routing `json:"routing,omitempty" yaml:"routing"`
	// ReportsOutcomes says that its backend servers can be asked whether an
	// attempt ran, and refuse the attempt from then on.
	ReportsOutcomes bool `json:"reports_outcomes,omitempty" yaml:"reports_outcomes"`
	// ChecksFencing says that its engines refuse an old fencing number.
	ChecksFencing bool `json:"checks_orders,omitempty" yaml:"checks_orders"`
	// Managed says that the system starts and stops its instances.
	Managed bool `json:"managed,omitempty" yaml:"managed"`
	// MinInstances is the least number of instances of a managed service.
	MinInstances int `json:"least_instances,omitempty" yaml:"least_instances"`
	// Routes mark which requests of a plain service are not idempotent.
	Routes []Route `json:"routes,omitempty" yaml:"routes"`
	// Engine is what is declared of its model engines.
	Engine *EngineSpec `json:"engine,omitempty" yaml:"engine"`
	// Scaling bounds and prices its instances. Nil means that none are ordered.
	Scaling *Scaling `json:"scaling,omitempty" yaml:"scaling"`
}

// Route marks the requests of one method below one path.
type Route struct {
	// Method is the HTTP method.
	Method string `json:"method" yaml:"method"`
	// Path is the beginning of the path within the service.
	Path string `json:"path" yaml:"path"`
	// Idempotent says that a request may run more than once.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
}

// Workspace is one customer's part of the deployment.
type Workspace struct {
	// Name names the workspace.
	Name string `json:"name" yaml:"name"`
	// KeySHA256 is the hexadecimal SHA-256 of the workspace's key.
	KeySHA256 string `json:"key_sha256" yaml:"key_sha256"`
	// AdditionalKeysSHA256 are the hashes of further keys.
	AdditionalKeysSHA256 []string `json:"more_keys_sha256,omitempty" yaml:"more_keys_sha256"`
	// Priority orders workspaces under load, 1 (lowest) to 9. Zero means 5.
	Priority int `json:"priority,omitempty" yaml:"priority"`
	// EngineRank orders workspaces at model engines, 0 first.
	EngineRank int `json:"rank,omitempty" yaml:"rank"`
	// Share is the weight in a fair share of a full service. Zero means 1.
	Share int `json:"share,omitempty" yaml:"share"`
	// RequestRate limits requests for each second. Zero means no limit.
	RequestRate float64 `json:"requests_per_second,omitempty" yaml:"requests_per_second"`
	// TokenRate limits answer tokens for each second. Zero means no limit.
	TokenRate float64 `json:"tokens_per_second,omitempty" yaml:"tokens_per_second"`
	// Allotment is the rate that all entry instances share.
	Allotment *Allotment `json:"allotment,omitempty" yaml:"allotment"`
	// Concurrency limits requests at one time. Zero means no limit.
	Concurrency int `json:"concurrent_requests,omitempty" yaml:"concurrent_requests"`
	// OpaqueIdempotencyKeys accepts idempotency keys that carry no time. Their records
	// are never pruned.
	OpaqueIdempotencyKeys bool `json:"opaque_keys,omitempty" yaml:"opaque_keys"`
}

// Price is what one machine class costs in one data centre.
type Price struct {
	// DataCentre names the data centre.
	DataCentre string `json:"data_centre" yaml:"data_centre"`
	// MachineClass names the class.
	MachineClass string `json:"machine_class" yaml:"machine_class"`
	// ReclaimablePerHour is the price of an hour on a reclaimable instance.
	ReclaimablePerHour float64 `json:"reclaimable_per_hour" yaml:"reclaimable_per_hour"`
	// OnDemandPerHour is the price of an hour on an on-demand instance.
	OnDemandPerHour float64 `json:"on_demand_per_hour" yaml:"on_demand_per_hour"`
}

// MarkKind is what an operator wants of one instance.
type MarkKind string

const (
	// MarkDrain gives the instance no new work.
	MarkDrain MarkKind = "drain"
	// MarkStop gives it no new work and moves away what can be moved.
	MarkStop MarkKind = "stop"
	// MarkNone takes an earlier mark back.
	MarkNone MarkKind = "none"
)

// Mark is an operator's wish for one instance.
type Mark struct {
	// Instance names the instance.
	Instance string `json:"instance"`
	// Kind is what is wanted.
	Kind MarkKind `json:"kind"`
}

// Allotment is a rate and a burst that all entry instances share.
type Allotment struct {
	// Rate is the rate, in tokens or requests.
	Rate float64 `json:"per_second" yaml:"per_second"`
	// Burst is what may be saved up, in tokens or requests.
	Burst float64 `json:"burst" yaml:"burst"`
	// CountsTokens says that requests count by their tokens.
	CountsTokens bool `json:"counts_tokens,omitempty" yaml:"counts_tokens"`
	// DefaultTokens is what a request counts that declares no tokens.
	DefaultTokens float64 `json:"plain_tokens,omitempty" yaml:"plain_tokens"`
}

// Cost returns what a request with so many declared tokens counts. Zero
// tokens mean that it declares none.
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
