package spokelocality_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokelocality"
	"mulberryspoke.example/mulberryspoke/spokerate"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

// The ways of choosing that are compared.
const (
	// wayNever lets no request leave.
	wayNever = "never"
	// wayEarliest takes the earliest forecast of all servers.
	wayEarliest = "earliest_forecast"
	// wayConstant adds a constant delay for another data centre.
	wayConstant = "constant"
	// wayServers draws a data centre by the share of the servers.
	wayServers = "share_by_servers"
	// wayDecided takes the decided shares.
	wayDecided = "decided"
)

type loadKind struct {
	Name      string            `yaml:"name"`
	PerSecond float64           `yaml:"per_second"`
	Shared    int               `yaml:"shared_tokens"`
	Own       int               `yaml:"own_tokens"`
	Prefixes  uint64            `yaml:"prefixes"`
	Lasts     spokeclock.Millis `yaml:"decoding_millis"`
	Target    spokeclock.Millis `yaml:"target_millis"`
	Bytes     int               `yaml:"bytes"`
}

type loadEvent struct {
	At spokeclock.Millis `yaml:"at_millis"`
	// Servers has the number of servers of a data centre from then on, Demand the factor of
	// its usual demand.
	Servers map[string]int     `yaml:"servers"`
	Demand  map[string]float64 `yaml:"demand"`
}

type comparisonCase struct {
	Name      string `yaml:"name"`
	Instances int    `yaml:"instances"`
	Servers   int    `yaml:"servers_per_data_centre"`
	Seconds   int    `yaml:"seconds"`
	// Ages are the least and the largest age of what instances know of others.
	Ages [2]spokeclock.Millis `yaml:"age_millis"`
	// WorkScale is what instances expect of a request's work, as a factor of what it is.
	// Zero means 1.
	WorkScale float64     `yaml:"work_scale"`
	Kinds     []loadKind  `yaml:"kinds"`
	Events    []loadEvent `yaml:"events"`
	// OtherWays are ways of choosing that are measured beside the constant delay of 3 ms and
	// the decided shares.
	OtherWays []string `yaml:"other_ways"`
	// MaxLatePart bounds the part of requests whose first event comes late under the
	// decided shares.
	MaxLatePart float64 `yaml:"max_late_part"`
	// MaxRemotePart bounds the part of requests that leave under the decided shares.
	MaxRemotePart float64 `yaml:"max_remote_part"`
	// MaxSwing bounds the swing of the decided shares.
	MaxSwing float64 `yaml:"max_swing"`
}

// TestComparison compares the ways of choosing a data centre with many instances that
// decide on reports that are 1 to 2 s old. It guards against herds, which all send to the
// same data centre until the reports show its load, and against oscillation.
func TestComparison(t *testing.T) {
	for _, c := range spokecase.Read[[]comparisonCase](t, "testdata/comparison.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			results := make(map[string]*result)
			for _, way := range append(c.OtherWays, wayConstant, wayDecided) {
				results[way] = newModel(c, way).run()
				t.Logf("%-18s %s", way, results[way])
			}
			constant, decided := results[wayConstant], results[wayDecided]
			require.LessOrEqual(t, decided.latePart(), c.MaxLatePart)
			require.LessOrEqual(t, decided.latePart(), constant.latePart()+0.01, "late answers with a constant delay")
			require.LessOrEqual(t, decided.remotePart(), c.MaxRemotePart)
			require.Less(t, decided.bytes, constant.bytes, "bytes with a constant delay")
			require.LessOrEqual(t, decided.swing(), c.MaxSwing)
		})
	}
}

// result is what a way of choosing has led to.
type result struct {
	requests, late, remote, bytes int
	firstTotal                    spokeclock.Millis
	// perSecond has the requests that servers of each data centre got in each second from
	// others.
	perSecond []map[string]int
}

func (r *result) latePart() float64   { return float64(r.late) / float64(r.requests) }
func (r *result) remotePart() float64 { return float64(r.remote) / float64(r.requests) }

// swing returns by how much the part of all requests that leave to a data centre rises and
// falls back, or falls and rises again, from each second to the next two, on average.
func (r *result) swing() float64 {
	total := 0.0
	all := float64(r.requests) / float64(len(r.perSecond))
	for i := 2; i < len(r.perSecond); i++ {
		for name, now := range r.perSecond[i] {
			before, last := r.perSecond[i-2][name], r.perSecond[i-1][name]
			there, back := float64(last-before)/all, float64(now-last)/all
			if there*back < 0 {
				total += min(max(there, -there), max(back, -back))
			}
		}
	}
	return total / float64(len(r.perSecond))
}

func (r *result) String() string {
	return fmt.Sprintf("late %.3f, mean first event %d ms, remote %.3f, MB %.1f, swing %.4f", r.latePart(), int(r.firstTotal)/r.requests, r.remotePart(), float64(r.bytes)/1e6, r.swing())
}

// serverLoad is the load of a server by the instances that sent it.
type serverLoad struct{ requests, tokens int }

// modelServer reads one prompt after the other.
type modelServer struct {
	name, dataCentre string
	isGone           bool
	freeAt           spokeclock.Millis
	prefixes         map[uint64]bool
	byInstance       []serverLoad
}

// model plays requests of several data centres. Instances know their own requests exactly
// and the others' as they were 1 to 2 s ago.
type model struct {
	comparisonCase
	way     string
	random  *rand.Rand
	clock   spokeclock.Manual
	now     spokeclock.Millis
	servers []*modelServer
	routers []*spokelocality.Router
	policy  spokeroute.Policy
	factors map[string]float64
	due     map[spokeclock.Millis][]func()
	// work measures the work of each data centre's requests.
	work []spokerate.Rate
	// history has the loads of all servers by instance, followed by their sums, and
	// workHistory the work of each data centre, as they were every historyStep.
	history     [][][]serverLoad
	workHistory [][]float64
	result      result
}

const (
	historyStep    = 100 * spokeclock.Millis(1)
	historyLength  = 21
	tokensPerMilli = 50
)

var dataCentreNames = []string{"a", "b", "c", "d"}

func newModel(c comparisonCase, way string) *model {
	m := &model{comparisonCase: c, way: way, random: rand.New(rand.NewPCG(1, 2)), factors: make(map[string]float64), due: make(map[spokeclock.Millis][]func())} //nolint:gosec // A test must be repeatable.
	m.policy = spokeroute.Policy{Routing: spokeconfig.RoutingEarliestFirstToken, Random: m.random}
	for _, name := range dataCentreNames {
		m.work = append(m.work, spokerate.Rate{TimeConstant: spokeclock.Second})
		m.factors[name] = 1
		for i := range c.Servers {
			m.servers = append(m.servers, &modelServer{name: fmt.Sprint(name, i), dataCentre: name, byInstance: make([]serverLoad, c.Instances), prefixes: make(map[uint64]bool)})
		}
	}
	settings := spokelocality.DefaultSettings()
	if way == wayNever {
		settings.SharePerSecond = 0
	}
	for i := range c.Instances {
		m.routers = append(m.routers, &spokelocality.Router{DataCentre: m.dataCentreOf(i), Settings: settings, Clock: m.clock.Clock(), RandomFunc: m.random.Float64})
	}
	return m
}

func (m *model) dataCentreOf(instance int) string {
	return dataCentreNames[instance%len(dataCentreNames)]
}

func (m *model) run() *result {
	for m.now = 1; m.now <= spokeclock.Millis(m.Seconds)*spokeclock.Second; m.now++ {
		m.clock.Advance(1)
		if m.now%spokeclock.Second == 1 {
			m.result.perSecond = append(m.result.perSecond, make(map[string]int))
		}
		if m.now%historyStep == 1 {
			m.record()
		}
		for _, event := range m.Events {
			if event.At == m.now {
				m.apply(event)
			}
		}
		for _, end := range m.due[m.now] {
			end()
		}
		delete(m.due, m.now)
		m.sendAll()
	}
	return &m.result
}

// sendAll sends the requests of a millisecond.
func (m *model) sendAll() {
	for instance := range m.Instances {
		for _, kind := range m.Kinds {
			if m.random.Float64() < kind.PerSecond*m.factors[m.dataCentreOf(instance)]/float64(m.Instances)/float64(spokeclock.Second) {
				m.send(instance, kind)
			}
		}
	}
}

func (m *model) apply(event loadEvent) {
	for name, factor := range event.Demand {
		m.factors[name] = factor
	}
	for name, count := range event.Servers {
		for i, server := range m.serversOf(name) {
			server.isGone = i >= count
		}
	}
}

func (m *model) serversOf(dataCentre string) []*modelServer {
	var servers []*modelServer
	for _, s := range m.servers {
		if s.dataCentre == dataCentre {
			servers = append(servers, s)
		}
	}
	return servers
}

func (m *model) record() {
	loads := make([][]serverLoad, len(m.servers))
	for i, s := range m.servers {
		var total serverLoad
		for _, load := range s.byInstance {
			total = serverLoad{total.requests + load.requests, total.tokens + load.tokens}
		}
		loads[i] = append(append([]serverLoad(nil), s.byInstance...), total)
	}
	busy := make([]float64, len(dataCentreNames))
	for i := range m.work {
		busy[i] = m.work[i].PerSecond(m.now) / float64(spokeclock.Second)
	}
	m.history, m.workHistory = append(m.history, loads), append(m.workHistory, busy)
	if len(m.history) > historyLength {
		m.history, m.workHistory = m.history[1:], m.workHistory[1:]
	}
}

// ageOf returns the age of what an instance knows of others, in steps of the history.
func (m *model) ageOf(instance int) spokeclock.Millis {
	least, most := m.Ages[0]/historyStep, m.Ages[1]/historyStep
	return least + spokeclock.Millis(instance)*(most-least)/spokeclock.Millis(m.Instances)
}

// knownLoads returns the loads of all servers, as an instance knows them.
func (m *model) knownLoads(instance int) []serverLoad {
	known := make([]serverLoad, len(m.servers))
	past := m.history[max(0, len(m.history)-1-int(m.ageOf(instance)))]
	for i, s := range m.servers {
		old, own := past[i][instance], s.byInstance[instance]
		total := past[i][m.Instances]
		known[i] = serverLoad{total.requests - old.requests + own.requests, total.tokens - old.tokens + own.tokens}
	}
	return known
}

func (m *model) send(instance int, kind loadKind) {
	known := m.knownLoads(instance)
	own := m.dataCentreOf(instance)
	key := m.random.Uint64N(kind.Prefixes) + 1 + uint64(len(kind.Name))<<32
	permit := m.permit(instance, known, kind, key)
	request := spokeroute.Request{PromptTokens: kind.Shared + kind.Own, SharedPrefixTokens: kind.Shared, PrefixKey: key, EntryInstances: m.Instances, HasLocalPrefixes: permit.HasLocalPrefixes()}
	if m.way == wayEarliest {
		request.EntryInstances = 1
	}
	drawn := dataCentreNames[m.random.IntN(len(dataCentreNames))]
	var candidates []spokeroute.Candidate
	for i, s := range m.servers {
		if s.isGone {
			continue
		}
		c := spokeroute.Candidate{Name: s.name, DataCentre: s.dataCentre, Local: s.dataCentre == own, Slots: slotsPerServer, Slowness: 1, TrafficShare: 1}
		c.InFlight, c.PrefillBacklog = known[i].requests, known[i].tokens
		m.setLocality(&c, permit, drawn)
		candidates = append(candidates, c)
	}
	decision := m.policy.Choose(candidates, request)
	m.work[instance%len(dataCentreNames)].Add(float64(decision.PrefillTokens()/tokensPerMilli), m.now)
	for _, s := range m.servers {
		if s.name == decision.Server() {
			m.serve(instance, s, kind, key)
		}
	}
}

func (m *model) permit(instance int, known []serverLoad, kind loadKind, key uint64) spokelocality.Permit {
	router := m.routers[instance]
	if m.way != wayDecided && m.way != wayNever {
		return spokelocality.Permit{}
	}
	if router.IsDue(testService) {
		router.Observe(testService, m.observe(instance, known))
	}
	return router.Permit(testService, spokelocality.Kind{
		Route: kind.Name, RequestBytes: kind.Bytes, FirstEventTarget: kind.Target, Work: float64(kind.Own / tokensPerMilli), PrefillWork: float64(kind.Own / tokensPerMilli), PromptTokens: kind.Shared + kind.Own, SharedPrefixTokens: kind.Shared, PrefixKey: key,
	})
}

func (m *model) observe(instance int, known []serverLoad) spokelocality.Observation {
	observation := spokelocality.Observation{CacheTokens: 478991}
	age := m.ageOf(instance)
	for index, name := range dataCentreNames {
		d := spokelocality.DataCentre{Name: name, Instances: m.Instances / len(dataCentreNames), Age: age * historyStep, Busy: m.workHistory[max(0, len(m.workHistory)-1-int(age))][index] * cmp.Or(m.WorkScale, 1)}
		for i, s := range m.servers {
			if s.dataCentre == name && !s.isGone {
				d.Servers++
				d.Queued += float64(known[i].tokens) / tokensPerMilli
			}
		}
		observation.DataCentres = append(observation.DataCentres, d)
	}
	return observation
}

func (m *model) setLocality(c *spokeroute.Candidate, permit spokelocality.Permit, drawn string) {
	switch {
	case c.Local:
		c.IsAvoided, c.AllowsPrefix = !permit.Allows(c.DataCentre), permit.AllowsPrefix(c.DataCentre)
	case m.way == wayEarliest:
	case m.way == wayConstant:
		c.RemoteDelay = spokeroute.DefaultRemoteDelay
	case m.way == wayServers:
		c.RemoteDelay, c.IsAvoided = spokeroute.DefaultRemoteDelay, c.DataCentre != drawn
	default:
		c.RemoteDelay = permit.LeaveCost(c.DataCentre)
		c.IsAvoided, c.AllowsPrefix = !permit.Allows(c.DataCentre), m.way == wayDecided && permit.AllowsPrefix(c.DataCentre)
	}
}

// serve queues the request at a server. Its prompt counts until the first event, and the
// request until its last.
func (m *model) serve(instance int, s *modelServer, kind loadKind, key uint64) {
	tokens := kind.Shared + kind.Own
	if s.prefixes[key] {
		tokens = kind.Own
	}
	s.prefixes[key] = true
	s.freeAt = max(s.freeAt, m.now) + spokeclock.Millis(tokens/tokensPerMilli)
	first := s.freeAt - m.now + 1
	load := &s.byInstance[instance]
	load.requests++
	load.tokens += tokens
	m.due[m.now+first] = append(m.due[m.now+first], func() { load.tokens -= tokens })
	m.due[m.now+first+kind.Lasts] = append(m.due[m.now+first+kind.Lasts], func() { load.requests-- })
	r := &m.result
	r.requests++
	r.firstTotal += first
	if s.dataCentre != m.dataCentreOf(instance) {
		r.remote++
		r.bytes += kind.Bytes
		r.perSecond[len(r.perSecond)-1][s.dataCentre]++
		first += spokelocality.DefaultSettings().RoundTrip
	}
	if first > kind.Target {
		r.late++
	}
	m.routers[instance].RecordAnswer(testService, s.dataCentre, first <= kind.Target)
}
