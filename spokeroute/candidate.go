package spokeroute

import "mulberryspoke.example/mulberryspoke/spokeclock"

// Candidate is what is known of one backend server at the moment of a choice.
type Candidate struct {
	// Name names the backend server.
	Name string
	// DataCentre is where it runs.
	DataCentre string
	// Local says that it is in the chooser's own data centre.
	Local bool
	// Draining says that it takes no new work.
	Draining bool
	// Suspended says that it has just failed and is left alone.
	Suspended bool
	// Slots is how many requests it runs at once.
	Slots int
	// InFlight counts requests under way from this process and its peers.
	InFlight int
	// LongInFlight counts those of them with long answers.
	LongInFlight int
	// ReportedLoad is the load it last reported of itself.
	ReportedLoad int
	// ReportAge is how old that report is.
	ReportAge spokeclock.Millis
	// Slowness is its time for a token against its peers' median; 1 is normal.
	Slowness float64
	// TrafficShare is the part of its normal traffic it may have, from just above 0
	// to 1.
	TrafficShare float64
	// PrefixCached says that it probably holds the request's prefix.
	PrefixCached bool
	// PrefillBacklog is how many prompt tokens it has yet to read.
	PrefillBacklog int
	// DataCentreUnreachable says that its data centre cannot be reached.
	DataCentreUnreachable bool
}

// Request is what matters of a request for a choice.
type Request struct {
	// LongAnswer says that a long answer is expected.
	LongAnswer bool
	// TriedServers names servers already tried.
	TriedServers []string
	// PromptTokens is the number of prompt tokens.
	PromptTokens int
	// SharedPrefixTokens is how many of them begin other requests' prompts too.
	SharedPrefixTokens int
	// EntryInstances is the number of instances that choose among the same servers.
	EntryInstances int
	// PrefixKey is the key of that beginning. Zero means none.
	PrefixKey uint64
}

// Reason tells why a server was chosen, or why none was.
type Reason string

const (
	// ReasonLeastCost is the least expected cost.
	ReasonLeastCost Reason = "least_cost"
	// ReasonCachedPrefix is a cached prefix that outweighed load.
	ReasonCachedPrefix Reason = "cached_prefix"
	// ReasonOnlyCandidate is that there was no other.
	ReasonOnlyCandidate Reason = "only_candidate"
	// ReasonRoundRobin is the turn of round robin.
	ReasonRoundRobin Reason = "turn"
	// ReasonLeastReported is the least reported load.
	ReasonLeastReported Reason = "least_reported"
	// ReasonTwoChoices is the less loaded of two.
	ReasonTwoChoices Reason = "two_choices"
	// ReasonEarliestFirstToken is the least expected time to the first token.
	ReasonEarliestFirstToken Reason = "earliest_first_token"
	// ReasonNoLiveServer is that no backend server is live.
	ReasonNoLiveServer Reason = "no_live_backend_server"
	// ReasonLongShareFull is that long answers fill their share of every server.
	ReasonLongShareFull Reason = "long_share_full"
)

// Decision is the result of a choice.
type Decision struct {
	server string
	reason Reason
	cost   float64
	unread int
}

// PrefillTokens returns how many prompt tokens the server is expected to read.
func (d Decision) PrefillTokens() int { return d.unread }

// Server returns the chosen server's name, empty when there is none.
func (d Decision) Server() string { return d.server }

// Reason returns what decided.
func (d Decision) Reason() Reason { return d.reason }

// Cost returns the expected cost of the chosen server under the score policy.
func (d Decision) Cost() float64 { return d.cost }
