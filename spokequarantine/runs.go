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
// unless they are the suspect. For each run of a server that has crashed without the suspect,
// one less of its later runs counts: the crashes of a sick server meet a sound subject by its
// share of the requests.
func (s *suspect) evidence(runs *runMemory) evidence {
	requests := make(map[uint32]bool)
	counted := make(map[uint32]*countedRuns)
	var lastAt spokeclock.Millis
	for _, c := range s.crashes {
		isOutdated := s.lastCrashAt()-c.at > crashWindow
		isTooClose := len(counted) > 0 && c.at-lastAt < s.rule.minCrashGap
		isRepeat := requests[c.request] && !s.rule.countsRepeats
		server := counted[c.server]
		if isOutdated || isTooClose || isRepeat || (server != nil && !server.isFollowedBy(c)) {
			continue
		}
		if server == nil {
			server = &countedRuns{}
			counted[c.server] = server
		}
		server.add(c)
		requests[c.request] = true
		lastAt = c.at
	}
	var total evidence
	for server, c := range counted {
		total.servers++
		total.crashes += 1 + max(0, len(c.generations)-1-runs.countWithout(s, server))
	}
	return total
}

// countedRuns are the runs of one server that count against a suspect.
type countedRuns struct {
	// generations are those that are known.
	generations []int64
	lastAt      spokeclock.Millis
}

func (r *countedRuns) add(c crashRecord) {
	if c.generation != 0 {
		r.generations = append(r.generations, c.generation)
	}
	r.lastAt = c.at
}

// isFollowedBy reports whether a crash is of a later run that counts. The run must be known,
// and the service must have answered something since the run before: if the only server of a
// service crashes under all requests, nothing tells the one that crashes it from the others.
func (r *countedRuns) isFollowedBy(c crashRecord) bool {
	isAnsweredSince := c.answerAge > 0 && c.at-c.answerAge > r.lastAt
	return c.generation != 0 && !slices.Contains(r.generations, c.generation) && isAnsweredSince
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
