package spokerollout

import (
	"container/heap"
	"flag"
	"maps"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// simulationCase is a rollout at many instances that know of each other's answers late.
type simulationCase struct {
	Name      string            `yaml:"name"`
	Instances int               `yaml:"instances"`
	Limit     spokeclock.Millis `yaml:"limit_millis"`
	Routes    []simulationRoute `yaml:"routes"`
	// OldFailing is the part of all answers that are failures at any version, and
	// BurstFailing that part from BurstFrom on, for BurstLasts.
	OldFailing   float64           `yaml:"old_failing"`
	BurstFailing float64           `yaml:"burst_failing"`
	BurstFrom    spokeclock.Millis `yaml:"burst_from_millis"`
	BurstLasts   spokeclock.Millis `yaml:"burst_lasts_millis"`
	Bad          simulationBadness `yaml:"bad"`
	// Broken is the part of answers that break off, at any version, in the burst.
	Broken float64 `yaml:"broken"`
	// Cold is the factor by which first events of the new version are later, as its
	// caches are empty. If ColdRequests is set, only so many of each server's first ones are.
	Cold         float64 `yaml:"cold"`
	ColdRequests int     `yaml:"cold_requests"`
	// Servers is the number of servers of each version, 8 by default.
	Servers int `yaml:"servers"`
	// LoadBurst is the factor by which more requests come from LoadFrom on, for LoadLasts.
	LoadBurst float64           `yaml:"load_burst"`
	LoadFrom  spokeclock.Millis `yaml:"load_from_millis"`
	LoadLasts spokeclock.Millis `yaml:"load_lasts_millis"`
	// Queueing is how much later first events are at a server of any version for each usual
	// load beyond the usual one, as a part of the usual time.
	Queueing float64 `yaml:"queueing"`
	// Want is the final state.
	Want State `yaml:"want"`
	// LateBad is set if the version may turn out to be bad only when the old servers are
	// already running empty, so that the bound on exposure can't always be kept.
	LateBad bool `yaml:"late_bad"`
}

type simulationRoute struct {
	Name string `yaml:"name"`
	// PerSecond are the requests of all instances together.
	PerSecond float64           `yaml:"per_second"`
	First     spokeclock.Millis `yaml:"first_millis"`
	Duration  spokeclock.Millis `yaml:"duration_millis"`
	Pause     float64           `yaml:"pause_millis"`
}

// simulationBadness is how a version is bad.
type simulationBadness struct {
	From    spokeclock.Millis `yaml:"from_millis"`
	Route   string            `yaml:"route"`
	Failing float64           `yaml:"failing"`
	// Slow is the part of answers that are slow, by Factor.
	Slow   float64 `yaml:"slow"`
	Factor float64 `yaml:"factor"`
	// AboveShare is the share of all requests above which it is bad.
	AboveShare float64 `yaml:"above_share"`
	// AboveLoad is the load of a server above which that server is bad, as a part of what an
	// old server usually has.
	AboveLoad float64 `yaml:"above_load"`
}

// simulatedServer is a server with the requests that it has got, faded over half a second.
type simulatedServer struct {
	name, version    string
	inFlight, served int
	recent           float64
}

// seeds is the number of runs of each case. More of them show the rates of false verdicts.
var seeds = flag.Int("seeds", 1, "runs of each simulated rollout")

// TestSimulation guards against false verdicts in both directions and against too many
// requests at a bad version, with 74 instances whose reports are up to two seconds old.
func TestSimulation(t *testing.T) {
	for _, c := range spokecase.Read[[]simulationCase](t, "testdata/simulation.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			wrong, exposed, late, worst := 0, 0, 0, 0.0
			var finished, latest spokeclock.Millis
			for seed := range *seeds {
				s := newSimulation(c, uint64(seed))
				s.run()
				if s.state != c.Want {
					wrong++
					t.Logf("seed %d: %s: %s", seed, s.state, s.reason)
					continue
				}
				finished += s.finishedAt
				latest = max(latest, s.finishedAt)
				bound := 0.1*float64(s.sent) + 50
				worst = max(worst, float64(s.sentNew)/bound)
				if c.Want == StateRolledBack && float64(s.sentNew) > bound {
					exposed++
				}
				late += s.sentLate
				require.Zero(t, s.sentOldAfterSuccess, "seed %d: requests at old servers after success", seed)
			}
			t.Logf("%d of %d wrong, %d exposed (at most %.2f of the bound), %d sent late, final after %d ms, %d at most", wrong, *seeds, exposed, worst, late, finished/spokeclock.Millis(max(1, *seeds-wrong)), latest)
			require.Zero(t, wrong, "false verdicts")
			if !c.LateBad {
				require.Zero(t, exposed, "runs in which the bound on exposure is broken")
			}
			require.Zero(t, late, "requests later than rollbackMs after the 50th bad answer")
			require.LessOrEqual(t, latest, c.Limit-spokeclock.Second)
		})
	}
}

const (
	simulatedService   = "svc"
	simulationStep     = 10 * spokeclock.Millis(1)
	rollbackTime       = 5 * spokeclock.Second
	rollbackAnswers    = 50
	simulationWarmUp   = 8 * spokeclock.Second
	firstEventsCounted = 9
	// fading is what is left after a step of what is counted of the last half second.
	fading = 0.98
)

// simulation runs instances against a manual clock.
type simulation struct {
	simulationCase
	random    *rand.Rand
	time      spokeclock.Manual
	clock     *spokeclock.Clock
	instances []*simulatedInstance
	events    eventQueue
	orderedAt spokeclock.Millis

	status     StatusRow
	state      State
	reason     string
	finishedAt spokeclock.Millis

	sent, sentNew, sentLate, sentOldAfterSuccess int
	recent, recentNew                            float64
	inFlightOld                                  int
	// servers are by version. UsualLoad is recent of an old server before the rollout.
	servers   map[string][]*simulatedServer
	usualLoad float64
	// known are all servers as the instances know them.
	known      []Server
	badAnswers int
	fiftiethAt spokeclock.Millis
}

type simulatedInstance struct {
	*Rollouts
	// told are the counters in its heartbeats so far, and period the time between two.
	told   map[string]int64
	period spokeclock.Millis
	// orderAt is when it reads the order, or zero afterwards.
	orderAt spokeclock.Millis
}

func newSimulation(c simulationCase, seed uint64) *simulation {
	s := &simulation{simulationCase: c, random: rand.New(rand.NewPCG(seed, 1)), state: StateRunning, orderedAt: simulationWarmUp} //nolint:gosec // A simulation.
	s.clock = s.time.Clock()
	s.addServers()
	for range c.Instances {
		i := &simulatedInstance{Rollouts: &Rollouts{
			ExposeShare: 0.1, Clock: s.clock, OldInFlightFunc: func(string, string) int { return s.inFlightOld },
			VersionsFunc: func(string) map[string]int { return map[string]int{"v1": 8, "v2": 8} },
		}, told: make(map[string]int64), period: 200 + spokeclock.Millis(s.random.IntN(1300))}
		i.DecisionFunc = func(d Decision) {
			if d.State == StateRolledBack && !strings.Contains(d.Reason, "peer") && s.reason == "" {
				s.reason = d.Reason
			}
		}
		i.SetOrders(nil, false)
		i.SetStatuses(nil)
		i.orderAt = s.orderedAt + spokeclock.Millis(s.random.IntN(1000))
		s.instances = append(s.instances, i)
		s.at(spokeclock.Millis(s.random.IntN(1000)), func() { s.heartbeat(i) })
	}
	return s
}

func (s *simulation) addServers() {
	if s.Servers == 0 {
		s.Servers = 8
	}
	s.servers = make(map[string][]*simulatedServer)
	for _, version := range []string{"v1", "v2"} {
		for i := range s.Servers {
			server := &simulatedServer{name: version + "-" + strconv.Itoa(i), version: version}
			s.servers[version] = append(s.servers[version], server)
			s.known = append(s.known, Server{Name: server.name, Version: version, IsServing: true, IsUsable: true})
		}
	}
	for _, route := range s.Routes {
		s.usualLoad += route.PerSecond * float64(simulationStep) / float64(spokeclock.Second) / (1 - fading) / float64(s.Servers)
	}
}

func (s *simulation) run() {
	limitAt := s.orderedAt + s.Limit
	for s.clock.Now() < limitAt {
		s.time.Advance(simulationStep)
		s.sendRequests()
		for len(s.events) > 0 && s.events[0].at <= s.clock.Now() {
			heap.Pop(&s.events).(simulationEvent).run()
		}
		if s.clock.Now()%CheckInterval == 0 {
			s.checkAll()
		}
	}
	s.state = s.status.State
}

func (s *simulation) checkAll() {
	now := s.clock.Now()
	for _, i := range s.instances {
		if i.orderAt > 0 && now >= i.orderAt {
			i.orderAt = 0
			i.SetOrders(map[string]Order{simulatedService: {To: "v2", TimeLimit: s.Limit, Version: 7}}, false)
		}
		i.Check()
	}
	holder := s.instances[0]
	if next, isDue := holder.NextStatus(simulatedService, s.status); isDue {
		s.status = StatusRow{Status: next, Version: s.status.Version + 1}
		if next.State.isFinal() {
			s.finishedAt = now - s.orderedAt
		}
		row := s.status
		for _, i := range s.instances {
			s.at(now+spokeclock.Millis(100+s.random.IntN(900)), func() { i.SetStatuses(map[string]StatusRow{simulatedService: row}) })
		}
	}
}

// heartbeat sends the changed counters of an instance to all others.
func (s *simulation) heartbeat(i *simulatedInstance) {
	changed := make(map[string]int64)
	for key, count := range i.Counts() {
		if i.told[key] != count {
			changed[key] = count
		}
	}
	maps.Copy(i.told, changed)
	now := s.clock.Now()
	name := strconv.Itoa(s.indexOf(i))
	if len(changed) > 0 {
		s.at(now+spokeclock.Millis(s.random.IntN(400)), func() {
			for _, other := range s.instances {
				if other != i {
					other.SetPeerCounts(name, 1, changed)
				}
			}
		})
	}
	s.at(now+i.period, func() { s.heartbeat(i) })
}

func (s *simulation) indexOf(i *simulatedInstance) int {
	for index, other := range s.instances {
		if other == i {
			return index
		}
	}
	return -1
}

func (s *simulation) sendRequests() {
	s.recent, s.recentNew = s.recent*fading, s.recentNew*fading
	for _, servers := range s.servers {
		for _, server := range servers {
			server.recent *= fading
		}
	}
	burst := 1.0
	if s.isIn(s.clock.Now(), s.LoadFrom, s.LoadLasts) {
		burst = s.LoadBurst
	}
	for _, route := range s.Routes {
		expected := burst * route.PerSecond * float64(simulationStep) / float64(spokeclock.Second)
		for s.random.Float64() < expected {
			expected--
			s.send(route, s.instances[s.random.IntN(len(s.instances))], s.random.Float64(), "")
		}
	}
}

func (s *simulation) send(route simulationRoute, i *simulatedInstance, draw float64, failedVersion string) {
	version := "v1"
	filter := i.Filter(simulatedService, draw, failedVersion)
	if !filter.Allows(version) {
		version = "v2"
	}
	server := s.chooseServer(filter, version)
	s.countSent(version)
	now, o := s.clock.Now(), s.outcome(route, server)
	server.inFlight++
	server.served++
	server.recent++
	report := Answer{Service: simulatedService, Route: route.Name, Version: version}
	s.at(now+o.first, func() {
		s.countBad(version, o)
		first := report
		first.IsAnswer, first.IsFailed, first.IsBroken, first.FirstEvent = true, o.isFailed, o.isBroken, o.first
		i.Record(first)
		if o.isLost() && failedVersion == "" {
			s.send(route, i, draw, version)
		}
	})
	if !o.isLost() && route.Pause > 0 {
		s.at(now+o.first+spokeclock.Millis(firstEventsCounted*o.pause), func() {
			paced := report
			paced.MeanPause = o.pause
			i.Record(paced)
		})
	}
	s.at(now+o.first+o.rest, func() {
		server.inFlight--
		if version == "v1" {
			s.inFlightOld--
		}
		if !o.isLost() {
			end := report
			end.Duration = o.first + o.rest
			i.Record(end)
		}
	})
}

// chooseServer returns the server with the fewest requests in flight.
func (s *simulation) chooseServer(filter Filter, version string) *simulatedServer {
	var best *simulatedServer
	servers := s.servers[version]
	var subset map[string]bool
	if version == "v2" {
		subset = filter.Subset(s.known)
	}
	for offset, at := 0, s.random.IntN(len(servers)); offset < len(servers); offset++ {
		server := servers[(at+offset)%len(servers)]
		if (subset == nil || subset[server.name]) && (best == nil || server.inFlight < best.inFlight) {
			best = server
		}
	}
	return best
}

func (s *simulation) countSent(version string) {
	now := s.clock.Now()
	s.recent++
	if now >= s.orderedAt {
		s.sent++
	}
	switch version {
	case "v2":
		s.sentNew++
		s.recentNew++
		if s.fiftiethAt > 0 && now > s.fiftiethAt+rollbackTime && s.Want == StateRolledBack {
			s.sentLate++
		}
	default:
		s.inFlightOld++
		if s.status.State == StateSucceeded {
			s.sentOldAfterSuccess++
		}
	}
}

func (s *simulation) countBad(version string, o simulatedOutcome) {
	if version == "v2" && (o.isFailed || o.isSlow) {
		if s.badAnswers++; s.badAnswers == rollbackAnswers {
			s.fiftiethAt = s.clock.Now()
		}
	}
}

// simulatedOutcome is how an answer goes: the time to its first event, the mean pause after
// it in milliseconds and the time from the first event to the end.
type simulatedOutcome struct {
	first, rest                spokeclock.Millis
	pause                      float64
	isFailed, isBroken, isSlow bool
}

func (o simulatedOutcome) isLost() bool { return o.isFailed || o.isBroken }

func (s *simulation) outcome(route simulationRoute, server *simulatedServer) simulatedOutcome {
	version, load := server.version, server.recent/s.usualLoad
	now := s.clock.Now()
	first := float64(route.First) * math.Exp(0.5*s.random.NormFloat64())
	pause, rest := route.Pause*math.Exp(0.2*s.random.NormFloat64()), float64(route.Duration)
	failing, broken, isSlow := s.OldFailing, 0.0, false
	if s.isIn(now, s.BurstFrom, s.BurstLasts) {
		failing, broken = max(failing, s.BurstFailing), s.Broken
	}
	first *= 1 + s.Queueing*max(0, load-1)
	if version == "v2" && (s.ColdRequests == 0 || server.served < s.ColdRequests) {
		first *= max(1, s.Cold)
	}
	if version == "v2" && load >= s.Bad.AboveLoad && s.isBadNow(route, now) {
		failing = max(failing, s.Bad.Failing)
		isSlow = s.random.Float64() < s.Bad.Slow
	}
	if isSlow {
		first, pause, rest = first*s.Bad.Factor, pause*s.Bad.Factor, rest*s.Bad.Factor
	}
	o := simulatedOutcome{first: spokeclock.Millis(first), rest: spokeclock.Millis(rest), pause: pause, isSlow: isSlow}
	o.isFailed, o.isBroken = s.random.Float64() < failing, s.random.Float64() < broken
	if o.isLost() {
		o.rest = 0
	}
	return o
}

func (s *simulation) isIn(now, from, lasts spokeclock.Millis) bool {
	return lasts > 0 && now >= s.orderedAt+from && now < s.orderedAt+from+lasts
}

func (s *simulation) isBadNow(route simulationRoute, now spokeclock.Millis) bool {
	isOnRoute := s.Bad.Route == "" || s.Bad.Route == route.Name
	return isOnRoute && now >= s.orderedAt+s.Bad.From && s.recentNew >= s.Bad.AboveShare*s.recent
}

type simulationEvent struct {
	at  spokeclock.Millis
	run func()
}

type eventQueue []simulationEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(event any) { *q = append(*q, event.(simulationEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) at(at spokeclock.Millis, run func()) {
	heap.Push(&s.events, simulationEvent{at: at, run: run})
}
