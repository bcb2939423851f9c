package spokeroute

import (
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeforecast"
)

// Candidate describes one backend server at the time of a choice.
type Candidate struct {
	// Name is the name of the backend server.
	Name string
	// DataCentre is the name of its data centre.
	DataCentre string
	// SoftwareVersion is the version of its software.
	SoftwareVersion string
	// Local is true if it is in the choosing instance's own data centre.
	Local bool
	// Draining is true if it gets no new requests.
	Draining bool
	// Suspended is true if it has just failed or refused a request and gets no
	// new requests for a while, unless no other server is left.
	Suspended bool
	// Throttled is true if it takes no more requests of this instance for the moment, by
	// a limit that it has named.
	Throttled bool
	// Slots is the number of requests that it runs at once. Zero or less means
	// that it is not known.
	Slots int
	// InFlight is the number of requests in flight from this process and its
	// peers.
	InFlight int
	// LongInFlight is the number of those with long answers.
	LongInFlight int
	// ReportedLoad is the load that the server last reported, in running and
	// waiting requests.
	ReportedLoad int
	// ReportAge is the age of that report.
	ReportAge spokeclock.Millis
	// Slowness is its time for a token relative to the median of its service's
	// servers; 1 is normal.
	Slowness float64
	// TrafficShare is the fraction of its normal traffic that it may get, above
	// 0 and up to 1. It is lowered while the server is slow.
	TrafficShare float64
	// UsualDelay is how long work usually takes at it, as a ratio to the median of its
	// service's servers. Zero means that it is not known.
	UsualDelay float64
	// MomentaryDelay is how long work takes at this moment, as a ratio to what is usual at
	// it. Zero means that it is not known.
	MomentaryDelay float64
	// Engine has the figures of its service's engines. Nil means those without evidence.
	Engine *spokeforecast.Engine
	// PrefixCached is true if it probably has the request's prefix in its cache.
	PrefixCached bool
	// PrefillBacklog is the number of prompt tokens that it has yet to process.
	PrefillBacklog int
	// DataCentreUnreachable is true if its data centre cannot be reached.
	DataCentreUnreachable bool
	// RemoteDelay is what a server of another data centre costs, in milliseconds of delay.
	RemoteDelay float64
	// IsAvoided is true if the request should not leave to its data centre. AllowsPrefix
	// makes an exception if the request's prefix is expected in its cache.
	IsAvoided    bool
	AllowsPrefix bool
}

// Request describes what a choice depends on in a request.
type Request struct {
	// LongAnswer is true if a long answer is expected.
	LongAnswer bool
	// TriedServers are the names of the servers already tried.
	TriedServers []string
	// PromptTokens is the number of prompt tokens.
	PromptTokens int
	// SharedPrefixTokens is the length of the prefix that the prompt shares with
	// other requests.
	SharedPrefixTokens int
	// EntryInstances is the number of entry instances that choose among the same
	// servers.
	EntryInstances int
	// Target is the time in which the first token is due. Zero means that none is known.
	Target spokeclock.Millis
	// PrefixKey is the key of the shared prefix. Zero means none.
	PrefixKey uint64
	// HasLocalPrefixes is true if a shared prefix is cached at one server of each data
	// centre, and false if at one of all.
	HasLocalPrefixes bool
	// SoftwareVersion is the version at which a stream began that is resumed, if
	// IsResumed is set. No server of another version can go on with it.
	SoftwareVersion string
	IsResumed       bool
	// IsResumable is true for a new stream that may be resumed later. PreferredVersion is
	// the version at which it should begin, if HasPreferredVersion is set.
	IsResumable         bool
	PreferredVersion    string
	HasPreferredVersion bool
}

// Reason is the reason why a server was chosen, or why none was.
type Reason string

const (
	// ReasonLeastCost means that the server has the least expected cost.
	ReasonLeastCost Reason = "least_cost"
	// ReasonCachedPrefix means that the server probably has the request's
	// prefix in its cache.
	ReasonCachedPrefix Reason = "cached_prefix"
	// ReasonOnlyCandidate means that no other server could be chosen.
	ReasonOnlyCandidate Reason = "only_candidate"
	// ReasonRoundRobin means that the server is next in the round robin.
	ReasonRoundRobin Reason = "turn"
	// ReasonLeastReported means that the server reported the least load.
	ReasonLeastReported Reason = "least_reported"
	// ReasonTwoChoices means that the server is the one with fewer requests in
	// flight of two random servers.
	ReasonTwoChoices Reason = "two_choices"
	// ReasonEarliestFirstToken means that the server has the earliest expected
	// first token.
	ReasonEarliestFirstToken Reason = "earliest_first_token"
	// ReasonNoLiveServer means that all backend servers are draining, or that
	// there are none.
	ReasonNoLiveServer Reason = "no_live_backend_server"
	// ReasonLongShareFull means that long answers take, on every server, all the
	// slots that they may take.
	ReasonLongShareFull Reason = "long_share_full"
)

// Decision is the result of a choice.
type Decision struct {
	server        string
	reason        Reason
	cost          float64
	prefillTokens int
}

// PrefillTokens returns the number of prompt tokens that the server is expected
// to process. It is zero unless the forecast policy chose the server.
func (d Decision) PrefillTokens() int { return d.prefillTokens }

// Server returns the name of the chosen server, or "" if there is none.
func (d Decision) Server() string { return d.server }

// Reason returns the reason for the choice.
func (d Decision) Reason() Reason { return d.reason }

// Cost returns the expected cost of the chosen server: in units of a normal
// server's full load under the score policy, in milliseconds until the first
// token under the forecast policy, and zero under the others.
func (d Decision) Cost() float64 { return d.cost }
