package spokequarantine

import (
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// maxCrashedRuns is above the number of servers that crash together in a large deployment.
// With more, the oldest crash is forgotten.
const maxCrashedRuns = 512

// crashedRun is a run of a server that has crashed, whatever it was running.
type crashedRun struct {
	server     uint32
	generation int64
	at         spokeclock.Millis
}

// runMemory remembers which runs of servers have crashed within the last crashWindow, also
// under requests that are answered elsewhere later. Runs that are not known are left out.
// The zero value is ready to use.
type runMemory struct {
	runs []crashedRun
}

func (m *runMemory) add(c crashRecord, now spokeclock.Millis) {
	isKnown := func(r crashedRun) bool { return r.server == c.server && r.generation == c.generation }
	if c.generation == 0 || now-c.at > crashWindow || slices.ContainsFunc(m.runs, isKnown) {
		return
	}
	m.runs = slices.DeleteFunc(m.runs, func(r crashedRun) bool { return now-r.at > crashWindow })
	m.runs = append(m.runs, crashedRun{server: c.server, generation: c.generation, at: c.at})
	m.runs = m.runs[max(0, len(m.runs)-maxCrashedRuns):]
}

// countWithout returns the number of runs of a server that have crashed without a suspect,
// within crashWindow before its last crash.
func (m *runMemory) countWithout(s *suspect, server uint32) int {
	count := 0
	for _, r := range m.runs {
		isSuspects := func(c crashRecord) bool { return c.server == server && c.generation == r.generation }
		if r.server == server && s.lastCrashAt()-r.at <= crashWindow && !slices.ContainsFunc(s.crashes, isSuspects) {
			count++
		}
	}
	return count
}

// evidence is what the crashes of a suspect count.
type evidence struct {
	// servers is the number of different servers. Crashes adds the later runs of each that
	// count.
	servers int
	crashes int
}

// points returns two for each server and one for each later run of it. One sick server
// crashes in each of its runs, whatever it is sent, so that a later run proves less than
// another server does.
func (e evidence) points() int { return e.servers + e.crashes }

// proves reports whether the evidence is as good as the crashes of a number of servers.
func (e evidence) proves(servers int) bool { return e.points() >= pointsPerServer*servers }

const pointsPerServer = 2

// evidence returns what the crashes within the last crashWindow count. Crashes that come
// closer to each other than the gap of the rule count once, and so do requests that are alike,
// unless they are the suspect. A later run of a server counts if its generation is known. For
// each run of the server that has crashed without the suspect, one less counts: the crashes
// of a sick server meet a sound subject by its share of the requests.
func (s *suspect) evidence(runs *runMemory) evidence {
	requests := make(map[uint32]bool)
	// generations are the known runs that count, by server.
	generations := make(map[uint32][]int64)
	var lastAt spokeclock.Millis
	for _, c := range s.crashes {
		counted, isServerCounted := generations[c.server]
		isOutdated := s.lastCrashAt()-c.at > crashWindow
		isTooClose := len(generations) > 0 && c.at-lastAt < s.rule.minCrashGap
		isRepeat := requests[c.request] && !s.rule.countsRepeats
		isSameRun := isServerCounted && (c.generation == 0 || slices.Contains(counted, c.generation))
		if isOutdated || isTooClose || isSameRun || isRepeat {
			continue
		}
		if c.generation != 0 {
			counted = append(counted, c.generation)
		}
		generations[c.server], requests[c.request] = counted, true
		lastAt = c.at
	}
	var total evidence
	for server, counted := range generations {
		total.servers++
		total.crashes += 1 + max(0, len(counted)-1-runs.countWithout(s, server))
	}
	return total
}

// dropCrash removes a crash if there are more than maxCrashes: the earliest one of a run that
// has another one, so that many requests at one run do not displace other runs, or else the
// earliest one.
func (s *suspect) dropCrash() {
	if len(s.crashes) <= maxCrashes {
		return
	}
	counts := make(map[crashedRun]int)
	runOf := func(c crashRecord) crashedRun { return crashedRun{server: c.server, generation: c.generation} }
	for _, c := range s.crashes {
		counts[runOf(c)]++
	}
	at := max(0, slices.IndexFunc(s.crashes, func(c crashRecord) bool { return counts[runOf(c)] > 1 }))
	s.crashes = slices.Delete(s.crashes, at, at+1)
}
