package spokethrottle

import (
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// minPartRate is the least rate, in requests a second, of an instance's part of a
	// limit. Each part may be used for one request at once, so that more parts would
	// let the instances together exceed the limit.
	minPartRate = 2.0
	// bucketSeconds is the time whose requests an instance may send at once.
	bucketSeconds = 0.25
	// minProbeInterval is the least time between two requests of an instance without a
	// part of the limit.
	minProbeInterval = 3 * spokeclock.Second
	// maxProbeInterval bounds the same for very low limits.
	maxProbeInterval = 20 * spokeclock.Second
	// divisionMaxAge is how long a division is used.
	divisionMaxAge = 200 * spokeclock.Millis(1)
)

// Members are the instances among which a server's limit is divided.
type Members struct {
	// Self is this instance. It has no part if Instances doesn't have it.
	Self string
	// Instances are the instances known by name, in an order that depends on the server
	// and is the same at all of them.
	Instances []string
	// DataCentre and DataCentres are the same for data centres, where only the instances
	// of the own one are known by name. Without any, Instances are those of all.
	DataCentre  string
	DataCentres []string
}

// part is an instance's part of a limit.
type part struct {
	// rate is the part in requests a second. It is zero if others have all of it.
	rate float64
	// place is this instance's place among those without a part, from zero on, or -1 if
	// it may send nothing.
	place int
}

// partOf returns this instance's part of a limit. The first instances of the order get
// equal parts of at least minPartRate, and the first one gets all of a lower limit.
func partOf(limit float64, members Members) part {
	place := 0
	if len(members.DataCentres) > 0 {
		at := slices.Index(members.DataCentres, members.DataCentre)
		parts := partCount(limit, len(members.DataCentres))
		if at < 0 {
			return part{place: -1}
		}
		if at >= parts {
			place = (at - parts + 1) * len(members.Instances)
		}
		limit /= float64(parts)
	}
	at := slices.Index(members.Instances, members.Self)
	parts := partCount(limit, len(members.Instances))
	switch {
	case at < 0:
		return part{place: -1}
	case limit <= 0 || place > 0:
		return part{place: place + at}
	case at < parts:
		return part{rate: limit / float64(parts)}
	default:
		return part{place: at - parts}
	}
}

// partCount returns the number of parts of a limit among some members.
func partCount(limit float64, members int) int {
	return max(1, int(min(limit/minPartRate, float64(members))))
}

// bucket is the token bucket for an instance's part of one limit.
type bucket struct {
	part part
	// limit is the limit that was divided, and dividedAt when.
	limit      Limit
	dividedAt  spokeclock.Millis
	level      float64
	refilledAt spokeclock.Millis
	// probedAt is when an instance without a part last sent a request.
	probedAt spokeclock.Millis
	canProbe bool
}

func (b *bucket) needsPart(limit Limit, now spokeclock.Millis) bool {
	return b.limit != limit || now-b.dividedAt >= divisionMaxAge
}

// refill adds what the part has allowed since the last call. An instance without a part
// may send a request if no other instance has had an answer for a while: one with a part
// may be gone, or get no requests. It is the only way to learn of the end of a limit then.
// The first such instance goes on until another one has had an answer.
func (b *bucket) refill(statement statement, now spokeclock.Millis) {
	elapsed := float64(now-b.refilledAt) / float64(spokeclock.Second)
	b.refilledAt = now
	depth := max(1, b.part.rate*bucketSeconds)
	if b.part.rate == 0 {
		depth = 0
	}
	b.level = min(depth, b.level+b.part.rate*elapsed)
	wait := probeInterval(b.limit.PerSecond)
	if !statement.isOwn {
		wait *= spokeclock.Millis(1 + max(0, b.part.place))
	}
	b.canProbe = b.part.rate == 0 && b.part.place >= 0 && now-max(statement.at, b.probedAt) >= wait
}

// probeInterval is longer than the time between two requests of the instances with a part.
func probeInterval(limit float64) spokeclock.Millis {
	if limit <= 0 {
		return maxProbeInterval
	}
	interval := min(2*float64(spokeclock.Second)/limit, float64(maxProbeInterval))
	return max(minProbeInterval, spokeclock.Millis(interval))
}

func (b *bucket) hasToken() bool { return b.level >= 1 || b.canProbe }

// take takes a token if there is one.
func (b *bucket) take(now spokeclock.Millis) bool {
	switch {
	case b.level >= 1:
		b.level--
	case b.canProbe:
		b.canProbe, b.probedAt = false, now
	default:
		return false
	}
	return true
}
