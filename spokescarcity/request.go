package spokescarcity

import "mulberryspoke.example/mulberryspoke/spokeclock"

// Request describes a request for which a server has been chosen.
type Request struct {
	// Service, Route and Workspace are the names of where it goes and whose it is.
	Service, Route, Workspace string
	// Rank is the order of its workspace and Priority that of its route, 0 first.
	Rank, Priority int
	// Target is the time in which its first event is due. Zero means that it has none.
	Target spokeclock.Millis
	// Forecast is the expected time to the first event at the chosen server, in milliseconds.
	Forecast float64
	// EngineTime is the time for which it is expected to keep an engine busy.
	EngineTime spokeclock.Millis
	// TimeLeft is the time until its deadline, CallerTimeLeft until its caller gives up.
	TimeLeft, CallerTimeLeft spokeclock.Millis
}

// Reason is why a request is refused.
type Reason string

const (
	// ReasonDeadline means that the first event is expected after the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonPrecedence means that the first event is expected late and that others are
	// served first.
	ReasonPrecedence Reason = "precedence"
	// ReasonDisplacing means that the request could be in time, but that a route that goes
	// first is late.
	ReasonDisplacing Reason = "displacing"
)

// Verdict is the decision on one request. The zero value admits it.
type Verdict struct {
	reason      Reason
	isLate      bool
	isShort     bool
	forecast    float64
	refusedPart float64
	retryAfter  spokeclock.Millis
	evidenceAge spokeclock.Millis
	admitted    *AdmittedRequest
}

// IsRefused reports whether the request must not be sent.
func (v Verdict) IsRefused() bool { return v.reason != "" }

// Reason returns why the request is refused, or "".
func (v Verdict) Reason() Reason { return v.reason }

// IsShort reports whether the service's servers are short.
func (v Verdict) IsShort() bool { return v.isShort }

// IsLate reports whether the first event of the request is expected after its target while
// servers are short.
func (v Verdict) IsLate() bool { return v.isLate }

// Forecast returns the expected time to the first event in milliseconds, with the mean
// error of the route's last forecasts.
func (v Verdict) Forecast() float64 { return v.forecast }

// RefusedPart returns the probability with which such a request is refused.
func (v Verdict) RefusedPart() float64 { return v.refusedPart }

// RetryAfter returns the time after which the caller of a refused request may come back.
func (v Verdict) RetryAfter() spokeclock.Millis { return v.retryAfter }

// EvidenceAge returns the time since the last first event, due or arrived.
func (v Verdict) EvidenceAge() spokeclock.Millis { return v.evidenceAge }

// AdmittedRequest returns what records how an admitted request goes. It may be nil.
func (v Verdict) AdmittedRequest() *AdmittedRequest { return v.admitted }

// Event is what happens to an admitted request.
type Event int

const (
	// EventFirst means that its first event has arrived.
	EventFirst Event = iota
	// EventFull means that a full server has refused it.
	EventFull
	// EventEnd means that it has ended.
	EventEnd
)

// Change is a change of a service's state.
type Change struct {
	// Service is the name of the service.
	Service string
	// IsShort is whether its servers are short now.
	IsShort bool
	// LateShare is the share of the late ones among the FirstEvents of the last second,
	// including requests refused by full servers and those that are overdue.
	LateShare   float64
	FirstEvents int
	// OverShare is the share of the Choices of the last second whose forecast was past the
	// target.
	OverShare float64
	Choices   int
	// EvidenceAge is the time since the last of the first events.
	EvidenceAge spokeclock.Millis
}
