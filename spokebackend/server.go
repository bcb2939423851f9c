package spokebackend

import (
	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokeforecast"
	"mulberryspoke.example/mulberryspoke/spokethrottle"
)

// RemovalSource is the source that reported the removal of a server.
type RemovalSource string

const (
	// SourceList is the platform's list of instances, which lags behind.
	SourceList RemovalSource = "list"
	// SourceNotice is a reclaim notice.
	SourceNotice RemovalSource = "notice"
	// SourcePeer is another entry instance.
	SourcePeer RemovalSource = "peer"
	// SourceAnswer is the server itself, in the head of an answer.
	SourceAnswer RemovalSource = "answer"
	// SourcePlan is the fleet plan.
	SourcePlan RemovalSource = "plan"
	// SourceOperatorDrain is an operator's mark that lets requests in flight
	// finish.
	SourceOperatorDrain RemovalSource = "drain"
	// SourceOperatorStop is an operator's mark that moves requests in flight to
	// other servers.
	SourceOperatorStop RemovalSource = "stop"
)

// defaultRemaining is the time until removal that is assumed if it is unknown.
const defaultRemaining = 2 * spokeclock.Second

// Removal announces that a server is being removed.
type Removal struct {
	// Source reported the removal.
	Source RemovalSource
	// Remaining is the time until the server is gone. Zero means unknown.
	Remaining spokeclock.Millis
	// Generation is the latest generation of the server that may be the one that is being
	// removed. A later one of the same name is not. Zero means any.
	Generation int64
}

// isOperatorMark reports whether an operator set the mark and can clear it.
func (s RemovalSource) isOperatorMark() bool {
	return s == SourceOperatorDrain || s == SourceOperatorStop
}

const (
	// slownessHalfLife is the time without a token in which slowness halves.
	slownessHalfLife  = 2 * spokeclock.Second
	initialSuspension = 500 * spokeclock.Millis(1)
	maxSuspension     = 8 * spokeclock.Second
	// slowTrafficShare is the share of its normal traffic that a slow server
	// gets.
	slowTrafficShare    = 0.1
	shareGrowthFactor   = 2.0
	shareGrowthInterval = spokeclock.Second
	// slowThreshold is the momentary delay from which a server counts as slow.
	slowThreshold = 2.5
)

// server is the state of one backend server.
type server struct {
	instance spokecloud.Instance
	// removalSource is empty unless the server is being removed.
	removalSource RemovalSource
	// removedThrough is the latest generation that may be the one that is being removed, if
	// it is later than that of the instance.
	removedThrough int64
	// expectedGoneAt is when a server that is being removed will be gone.
	expectedGoneAt spokeclock.Millis
	// unlistedSince is zero while the server is listed.
	unlistedSince spokeclock.Millis
	// inFlight counts this process's requests, longInFlight those of them with
	// long answers.
	inFlight     int
	longInFlight int
	// prefillBacklog is the number of prompt tokens of this process's requests
	// that the server has not processed.
	prefillBacklog int
	load           spokeengine.Load
	loadMeasuredAt spokeclock.Millis
	tokenGaps
	model          spokeforecast.Server
	failures       int
	suspendedUntil spokeclock.Millis
	// pausedUntil is until when the server has asked for no requests.
	pausedUntil spokeclock.Millis
	// trafficShare is the share of its normal traffic that the server gets, up
	// to 1.
	trafficShare   float64
	shareUpdatedAt spokeclock.Millis
}

// ID identifies a server in messages between entry instances. It is shorter
// than the name.
type ID uint32

// throttled identifies the run of the server in the throttle.
func (s *server) throttled() spokethrottle.Server {
	return spokethrottle.Server{Name: s.instance.Name, Generation: s.instance.Generation}
}

// idBits is the number of bits of a name's hash that form its ID. Collisions
// among the servers of a data centre are rare and only merge the counts of two
// servers.
const idBits = 24

// IDOf returns the ID of a server's name.
func IDOf(name string) ID {
	return ID(xxhash.Sum64String(name) & (1<<idBits - 1))
}

// InFlight counts the requests that one entry instance has in flight at a
// server.
type InFlight struct {
	// Requests counts all requests.
	Requests int `json:"all"`
	// LongRequests counts those of them with long answers.
	LongRequests int `json:"long"`
	// PrefillUnits is the part of their prompts that the server has not
	// processed, in units of 256 tokens.
	PrefillUnits int `json:"unread,omitempty"`
}

// tokensPerPrefillUnit is the number of tokens in a unit of
// InFlight.PrefillUnits.
const tokensPerPrefillUnit = 256

// isOnlyUnlisted reports whether a server's absence from the list, for less
// than unlistedGrace, is the only sign that it is gone.
func (s *server) isOnlyUnlisted(now spokeclock.Millis) bool {
	return s.removalSource == "" && s.failures == 0 && now-s.unlistedSince < unlistedGrace
}

// recordFailure suspends the server for a time that doubles with each failure
// in a row.
func (s *server) recordFailure(now spokeclock.Millis) {
	suspension := initialSuspension << min(s.failures, maxSuspensionDoublings)
	s.failures++
	s.suspendedUntil = now + min(suspension, maxSuspension)
}

const maxSuspensionDoublings = 4

// recordFull suspends a server without a free slot for fullSuspension.
func (s *server) recordFull(now spokeclock.Millis) {
	s.suspendedUntil = max(s.suspendedUntil, now+fullSuspension)
}

// fullSuspension is about the time in which a full server finishes one of its
// requests.
const fullSuspension = 150 * spokeclock.Millis(1)

func (s *server) recordSuccess() {
	s.failures = 0
	s.suspendedUntil = 0
}

// slowness returns the ratio of the server's average time between tokens to the
// median of its service, at least 1. The ratio halves with each
// slownessHalfLife since the last token, so that a slow server gets requests
// again and can recover.
func (s *server) slowness(median float64, now spokeclock.Millis) float64 {
	if s.gapUpdatedAt == 0 || median <= 0 {
		return 1
	}
	ratio := s.averageGap / median
	for age := now - s.gapUpdatedAt; age >= slownessHalfLife && ratio > 1; age -= slownessHalfLife {
		ratio /= 2
	}
	return max(1, ratio)
}

// momentaryDelay returns how long work takes at this moment compared with what is usual at
// the server, at least 1: by its answers or by its reports, whichever shows more. Both show
// the same delay, so they are not multiplied.
func (s *server) momentaryDelay(slowness, usualDelay float64, now spokeclock.Millis) float64 {
	return max(1, slowness/max(1, usualDelay), s.model.MomentaryDelay(now))
}

// updateTrafficShare lowers the share of the traffic of a server that is slow for a moment
// at once and raises it again in steps.
func (s *server) updateTrafficShare(momentaryDelay float64, now spokeclock.Millis) {
	if momentaryDelay >= slowThreshold {
		s.trafficShare = slowTrafficShare
		s.shareUpdatedAt = now
		return
	}
	for s.trafficShare < 1 && now-s.shareUpdatedAt >= shareGrowthInterval {
		s.trafficShare = min(1, s.trafficShare*shareGrowthFactor)
		s.shareUpdatedAt += shareGrowthInterval
	}
}
