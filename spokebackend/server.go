package spokebackend

import (
	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeengine"
)

// RemovalSource is where knowledge of a leaving server came from.
type RemovalSource string

const (
	// SourceList is the platform's lagging list.
	SourceList RemovalSource = "list"
	// SourceNotice is a reclaim notice.
	SourceNotice RemovalSource = "notice"
	// SourcePeer is another entry instance.
	SourcePeer RemovalSource = "peer"
	// SourcePlan is the plan of the fleet.
	SourcePlan RemovalSource = "plan"
	// SourceOperatorDrain is an operator's mark that lets work under way end.
	SourceOperatorDrain RemovalSource = "drain"
	// SourceOperatorStop is an operator's mark that moves work under way.
	SourceOperatorStop RemovalSource = "stop"
)

// unknownLeft stands for a departure whose time is not known.
const unknownLeft = 2 * spokeclock.Second

// Removal tells that a server is leaving.
type Removal struct {
	// Source is where the knowledge came from.
	Source RemovalSource
	// Remaining is the time until the server is gone. Zero means unknown.
	Remaining spokeclock.Millis
}

// byOperator reports whether an operator may take the departure back.
func (s RemovalSource) byOperator() bool {
	return s == SourceOperatorDrain || s == SourceOperatorStop
}

const (
	evidenceWeight  = 0.3
	slowHalfLife    = 2 * spokeclock.Second
	suspensionStart = 500 * spokeclock.Millis(1)
	suspensionLimit = 8 * spokeclock.Second
	trustAfterSlow  = 0.1
	trustStep       = 2.0
	trustInterval   = spokeclock.Second
	slowThreshold   = 2.5
)

// server is the state of one backend server.
type server struct {
	instance spokecloud.Instance
	leaving  RemovalSource
	goneBy   spokeclock.Millis
	unlisted spokeclock.Millis
	own      int
	ownLong  int
	unread   int
	load     spokeengine.Load
	loadAt   spokeclock.Millis
	gap      float64
	gapAt    spokeclock.Millis
	failures int
	idleTill spokeclock.Millis
	trust    float64
	trustAt  spokeclock.Millis
}

// ID stands for a server between entry instances, shorter than its name.
type ID uint32

// idBits is how many bits of a name's hash make its ID. Among a data centre's
// servers two with the same are rare, and then only share their counts.
const idBits = 24

// IDOf returns the ID of a server's name.
func IDOf(name string) ID {
	return ID(xxhash.Sum64String(name) & (1<<idBits - 1))
}

// InFlight is how many requests one entry instance has under way at a server.
type InFlight struct {
	// Requests counts requests.
	Requests int `json:"all"`
	// LongRequests counts those of them with long answers.
	LongRequests int `json:"long"`
	// PrefillUnits is how much of their prompts the server has yet to read, in units
	// of 256 tokens.
	PrefillUnits int `json:"unread,omitempty"`
}

// unreadUnit is the number of tokens that Use counts as one.
const unreadUnit = 256

// mayBeLive reports whether nothing but the list speaks against an unlisted
// server.
func (s *server) mayBeLive(now spokeclock.Millis) bool {
	return s.leaving == "" && s.failures == 0 && now-s.unlisted < doubtFor
}

// fail notes a failure and leaves the server alone for a span that doubles.
func (s *server) fail(now spokeclock.Millis) {
	span := suspensionStart << min(s.failures, suspensionDoublings)
	s.failures++
	s.idleTill = now + min(span, suspensionLimit)
}

const suspensionDoublings = 4

// fill leaves a server alone for a moment that has no room.
func (s *server) fill(now spokeclock.Millis) {
	s.idleTill = max(s.idleTill, now+fullFor)
}

// fullFor is about the time in which a full server ends one of its requests.
const fullFor = 150 * spokeclock.Millis(1)

func (s *server) succeed() {
	s.failures = 0
	s.idleTill = 0
}

// observeGap takes in the time between two tokens.
func (s *server) observeGap(gap, now spokeclock.Millis) {
	if s.gapAt == 0 {
		s.gap = float64(gap)
	} else {
		s.gap = (1-evidenceWeight)*s.gap + evidenceWeight*float64(gap)
	}
	s.gapAt = now
}

// slowness compares the server's time between tokens to the median of its
// service. Old evidence fades, so that a server gets a chance to recover.
func (s *server) slowness(median float64, now spokeclock.Millis) float64 {
	if s.gapAt == 0 || median <= 0 {
		return 1
	}
	ratio := s.gap / median
	for age := now - s.gapAt; age >= slowHalfLife && ratio > 1; age -= slowHalfLife {
		ratio /= 2
	}
	return max(1, ratio)
}

// retrust lowers the part of traffic of a slow server at once and gives it
// back in steps.
func (s *server) retrust(slowness float64, now spokeclock.Millis) {
	if slowness >= slowThreshold {
		s.trust = trustAfterSlow
		s.trustAt = now
		return
	}
	for s.trust < 1 && now-s.trustAt >= trustInterval {
		s.trust = min(1, s.trust*trustStep)
		s.trustAt += trustInterval
	}
}
