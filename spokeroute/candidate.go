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
	// Leaving says that it takes no new work.
	Leaving bool
	// Suspended says that it has just failed and is left alone.
	Suspended bool
	// Slots is how many requests it runs at once.
	Slots int
	// InFlight counts requests under way from this process and its peers.
	InFlight int
	// Long counts those of them with long answers.
	Long int
	// Reported is the load it last reported of itself.
	Reported int
	// ReportAge is how old that report is.
	ReportAge spokeclock.Millis
	// Slowness is its time for a token against its peers' median; 1 is normal.
	Slowness float64
	// Trust is the part of its normal traffic it may have, from just above 0
	// to 1.
	Trust float64
	// Cached says that it probably holds the request's prefix.
	Cached bool
	// Unread is how many prompt tokens it has yet to read.
	Unread int
	// CutOff says that its data centre cannot be reached.
	CutOff bool
}

// Request is what matters of a request for a choice.
type Request struct {
	// Long says that a long answer is expected.
	Long bool
	// Avoid names servers already tried.
	Avoid []string
	// Prompt is the number of prompt tokens.
	Prompt int
	// Shared is how many of them begin other requests' prompts too.
	Shared int
	// Choosers is the number of instances that choose among the same servers.
	Choosers int
	// Affinity is the key of that beginning. Zero means none.
	Affinity uint64
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
	// ReasonTurn is the turn of round robin.
	ReasonTurn Reason = "turn"
	// ReasonLeastReported is the least reported load.
	ReasonLeastReported Reason = "least_reported"
	// ReasonTwoChoices is the less loaded of two.
	ReasonTwoChoices Reason = "two_choices"
	// ReasonEarliest is the least expected time to the first token.
	ReasonEarliest Reason = "earliest_first_token"
	// ReasonNone is that no backend server is live.
	ReasonNone Reason = "no_live_backend_server"
	// ReasonLongShare is that long answers fill their share of every server.
	ReasonLongShare Reason = "long_share_full"
)

// Decision is the result of a choice.
type Decision struct {
	server string
	reason Reason
	cost   float64
	unread int
}

// Unread returns how many prompt tokens the server is expected to read.
func (d Decision) Unread() int { return d.unread }

// Server returns the chosen server's name, empty when there is none.
func (d Decision) Server() string { return d.server }

// Reason returns what decided.
func (d Decision) Reason() Reason { return d.reason }

// Cost returns the expected cost of the chosen server under the score policy.
func (d Decision) Cost() float64 { return d.cost }
