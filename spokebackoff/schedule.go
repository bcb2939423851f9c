package spokebackoff

import (
	"math/rand/v2"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// honouredDivisor is the part of the time left for which callers honour a Retry-After.
	honouredDivisor = 3
	// returningFraction is the part of the room that callers who come back may fill. The
	// rest is for new requests, which arrive meanwhile.
	returningFraction = 0.5
	// spreadFactor is the multiple of the wait up to which callers are spread if the room is
	// not known.
	spreadFactor = 4
	// minRetryAfter is the least time to come back after, as zero means never.
	minRetryAfter = spokeclock.Millis(1)
	// maxLanes bounds the lanes. When there are more, all are forgotten.
	maxLanes = 4096
)

// Room is the room that comes back for the callers of one lane.
type Room struct {
	// Wait is the time until any room comes back.
	Wait spokeclock.Millis
	// PerSecond is the room that comes back from then on, in the unit of the cost. Zero
	// means unknown.
	PerSecond float64
}

// Caller is a refused caller.
type Caller struct {
	// Lane names the callers that share the room, such as those of one route and workspace.
	Lane string
	// Cost is the room that the request needs.
	Cost float64
	// TimeLeft is the time until the caller's deadline.
	TimeLeft spokeclock.Millis
}

// Slot is when a refused caller is to come back.
type Slot struct {
	after   spokeclock.Millis
	hasRoom bool
}

// RetryAfter returns the time after which the caller is to come back.
func (s Slot) RetryAfter() spokeclock.Millis { return s.after }

// HasRoom reports whether room is expected then. Otherwise none comes back within the time
// for which the caller honours a Retry-After, and RetryAfter is at the end of it or later.
func (s Slot) HasRoom() bool { return s.hasRoom }

// Schedule gives refused callers the times at which room is expected for them. The zero
// value is ready for use. It is safe for concurrent use.
type Schedule struct {
	// Clock measures time. Nil means the process's monotonic clock.
	Clock *spokeclock.Clock
	// RandomFunc returns a random number in [0, 1). Nil means math/rand/v2.
	RandomFunc func() float64

	mutex sync.Mutex
	// freeAt is, by lane, when the room is free that no caller has been given yet.
	freeAt map[string]spokeclock.Millis
}

// Book returns when a refused caller is to come back. A caller for whom there is no room in
// time takes none.
func (s *Schedule) Book(caller Caller, room Room) Slot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	honoured := max(minRetryAfter, caller.TimeLeft/honouredDivisor)
	if room.PerSecond <= 0 {
		return s.spread(room, honoured)
	}
	needed := spokeclock.Millis(min(float64(caller.TimeLeft), caller.Cost/(room.PerSecond*returningFraction)*float64(spokeclock.Second)))
	at := now + max(minRetryAfter, room.Wait)
	if freeAt := s.freeAt[caller.Lane]; freeAt > at {
		at = freeAt
	} else {
		// Many instances see the same room. They don't send their first callers at once.
		at += spokeclock.Millis(s.random() * float64(needed))
	}
	if at-now > honoured {
		return Slot{after: max(honoured, room.Wait)}
	}
	if s.freeAt == nil || len(s.freeAt) >= maxLanes {
		s.freeAt = make(map[string]spokeclock.Millis)
	}
	s.freeAt[caller.Lane] = at + needed
	return Slot{after: at - now, hasRoom: true}
}

// spread returns a random time between the wait and spreadFactor times it, within the
// honoured time, as it is not known how much room comes back.
func (s *Schedule) spread(room Room, honoured spokeclock.Millis) Slot {
	wait := max(minRetryAfter, room.Wait)
	if wait >= honoured {
		return Slot{after: wait}
	}
	latest := min(honoured, spreadFactor*wait)
	return Slot{after: wait + spokeclock.Millis(s.random()*float64(latest-wait)), hasRoom: true}
}

func (s *Schedule) random() float64 {
	if s.RandomFunc != nil {
		return s.RandomFunc()
	}
	return rand.Float64() //nolint:gosec // The spreading needs no secrecy.
}
