package spokequarantine

import (
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Subject is what servers may crash on: a part of prompts, or the whole of a request
// that comes again.
type Subject string

// contentPrefix marks the subjects that are whole requests. The keys of parts have no
// colon.
const contentPrefix = "content:"

// Part returns the subject of a part of prompts.
func Part(key string) Subject { return Subject(key) }

// Content returns the subject of the requests with the same path, caller and body.
func Content(key string) Subject { return Subject(contentPrefix + key) }

// ContentKey returns the key of a whole request, and whether the subject is one.
func (s Subject) ContentKey() (key string, isContent bool) {
	return strings.CutPrefix(string(s), contentPrefix)
}

// rule is how many crashes bar a subject. Its numbers are of servers, see evidence.
type rule struct {
	// minCrashes is the number of crashes that bar a subject of which no answer is
	// known.
	minCrashes int
	// minCrashesAnswered is the same for a subject under which answers were complete
	// before, as other requests of its servers may be the cause.
	minCrashesAnswered int
	// minCrashesFirm is the number of crashes from which a bar lasts barDuration instead
	// of shortBarDuration.
	minCrashesFirm int
	// minCrashGap is the time between two crashes that count both. Servers that fail at
	// the same moment have another cause in common.
	minCrashGap spokeclock.Millis
	// countsRepeats is whether crashes count under requests that are alike.
	countsRepeats bool
}

var (
	partRule = rule{minCrashes: 3, minCrashesAnswered: 6, minCrashesFirm: 3, minCrashGap: 200}
	// Two servers that crash one after the other under the same request are enough for a
	// short bar, as sound requests have contents of their own. The attempts of a sound one
	// may have met the same servers as the request that crashed them.
	contentRule = rule{minCrashes: 2, minCrashesAnswered: 4, minCrashesFirm: 3, minCrashGap: 50, countsRepeats: true}
)

func (s Subject) rule() rule {
	if _, isContent := s.ContentKey(); isContent {
		return contentRule
	}
	return partRule
}

// newsCrashes is the number of crashes from which peers are told of an answer that speaks
// against them.
func (r rule) newsCrashes() int { return r.minCrashes - 1 }
