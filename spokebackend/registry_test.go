package spokebackend_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
)

const (
	usualGap      = 4 * spokeclock.Millis(1)
	usualServers  = 5
	slowThreshold = 2.5
)

type slownessCase struct {
	Name string              `yaml:"name"`
	Gaps []spokeclock.Millis `yaml:"gaps"`
	// Slow is when the server counts as slow: never, at the end, or at some time
	// before the end.
	Slow string `yaml:"slow"`
}

// TestSlowness checks which series of gaps between tokens make a server count as
// slow. A process that waits for the processor must not make a healthy server
// look slow.
func TestSlowness(t *testing.T) {
	for _, c := range spokecase.Read[[]slownessCase](t, "testdata/slowness.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c slownessCase) run(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	registry := &spokebackend.Registry{DataCentre: "a", Clock: clock.Clock()}
	instances := []spokecloud.Instance{newServer("tested")}
	for i := range usualServers {
		instances = append(instances, newServer(string(rune('a'+i))))
	}
	registry.UpdateInstances(instances)
	for _, instance := range instances[1:] {
		attempt := begin(t, registry, instance.Name)
		attempt.RecordToken(true)
		for range usualServers {
			clock.Advance(usualGap)
			attempt.RecordToken(false)
		}
	}
	attempt := begin(t, registry, "tested")
	attempt.RecordToken(true)
	slow := "never"
	for _, gap := range c.Gaps {
		clock.Advance(gap)
		attempt.RecordToken(false)
		switch {
		case attempt.Slowness() >= slowThreshold:
			slow = "at_end"
		case slow == "at_end":
			slow = "before_end"
		}
	}
	require.Equal(t, c.Slow, slow, "slowness %.2f", attempt.Slowness())
}

type arrivalsCase struct {
	Name string `yaml:"name"`
	// Answers are the gaps before the tokens of each answer, by its server's name and a
	// number. All begin at the same time, with a first token. "20*4" means 20 gaps of 4 ms.
	Answers map[string]string `yaml:"answers"`
	// Slow has the servers that become slow, and by when they must be listed as slow.
	Slow map[string]spokeclock.Millis `yaml:"slow_by_millis"`
}

// TestSlownessOfConcurrentAnswers guards against healthy servers that count as slow after
// this process, or a server's, has waited for the processor: one delay stretches a gap of
// each answer, and the tokens buffered meanwhile make the other servers look fast.
func TestSlownessOfConcurrentAnswers(t *testing.T) {
	for _, c := range spokecase.Read[[]arrivalsCase](t, "testdata/arrivals.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c arrivalsCase) run(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	registry := &spokebackend.Registry{DataCentre: "a", Clock: clock.Clock()}
	registry.UpdateInstances([]spokecloud.Instance{newServer("a"), newServer("b")})
	attempts, end := make(map[string]*spokebackend.Attempt), spokeclock.Millis(0)
	arrivals := make(map[string][]spokeclock.Millis)
	for answer, gaps := range c.Answers {
		attempts[answer] = begin(t, registry, answer[:1])
		arrivals[answer] = parseArrivals(t, gaps)
		end = max(end, slices.Max(arrivals[answer]))
	}
	slow := make(map[string]spokeclock.Millis)
	for now := spokeclock.Millis(0); now <= end; now++ {
		for answer, times := range arrivals {
			for i, at := range times {
				if at == now {
					attempts[answer].RecordToken(i == 0)
				}
			}
		}
		for _, server := range registry.Servers() {
			name, candidate := server.Instance().Name, server.Candidate()
			if _, found := slow[name]; !found && candidate.TrafficShare < 1 {
				slow[name] = now
				t.Logf("%s is slow at %d ms, slowness %.2f", name, now, candidate.Slowness)
			}
		}
		clock.Advance(1)
	}
	require.Len(t, slow, len(c.Slow))
	for name, by := range c.Slow {
		require.Contains(t, slow, name)
		require.LessOrEqual(t, slow[name], by, name)
	}
}

// parseArrivals returns the times at which tokens arrive, the first one at 0.
func parseArrivals(t *testing.T, gaps string) []spokeclock.Millis {
	times := []spokeclock.Millis{0}
	for _, field := range strings.Fields(gaps) {
		count, gap, found := strings.Cut(field, "*")
		if !found {
			count, gap = "1", field
		}
		repeats, err := strconv.Atoi(count)
		require.NoError(t, err)
		length, err := strconv.Atoi(gap)
		require.NoError(t, err)
		for range repeats {
			times = append(times, times[len(times)-1]+spokeclock.Millis(length))
		}
	}
	return times
}

func newServer(name string) spokecloud.Instance {
	return spokecloud.Instance{Name: name, Role: spokecloud.RoleBackend, Service: "s", DataCentre: "a", State: spokecloud.StateRunning, Slots: 4}
}

func begin(t *testing.T, registry *spokebackend.Registry, server string) *spokebackend.Attempt {
	attempt, begun := registry.BeginAttempt(server, false, func(spokebackend.Removal) {})
	require.True(t, begun)
	return attempt
}

type removalStep struct {
	// List has the generations of the listed servers, by name.
	List map[string]int64 `yaml:"list"`
	// Marked marks a server for removal as a peer or an answer does.
	Marked *struct {
		Server     string `yaml:"server"`
		Generation int64  `yaml:"generation"`
	} `yaml:"marked"`
	// Open has the servers that get new requests after the step, Sent the
	// generations of those that peers are told to be leaving.
	Open []string         `yaml:"open"`
	Sent map[string]int64 `yaml:"sent"`
}

type removalCase struct {
	Name  string        `yaml:"name"`
	Steps []removalStep `yaml:"steps"`
}

// TestRemovals checks which servers get new requests after lists and removals in
// any order. A removal must outlast lists that lag behind and end with the next
// start of a server of the same name.
func TestRemovals(t *testing.T) {
	for _, c := range spokecase.Read[[]removalCase](t, "testdata/removals.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c removalCase) run(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	registry := &spokebackend.Registry{DataCentre: "a", Clock: clock.Clock(), ListIsAuthoritative: true}
	for i, step := range c.Steps {
		if step.List != nil {
			var instances []spokecloud.Instance
			for name, generation := range step.List {
				instance := newServer(name)
				instance.Generation = generation
				instances = append(instances, instance)
			}
			registry.UpdateInstances(instances)
		}
		if step.Marked != nil {
			registry.MarkForRemoval(step.Marked.Server, spokebackend.Removal{Source: spokebackend.SourcePeer, Generation: step.Marked.Generation})
		}
		var open []string
		for _, candidate := range registry.Candidates("s", "") {
			if !candidate.Draining {
				open = append(open, candidate.Name)
			}
		}
		require.ElementsMatch(t, step.Open, open, "step %d", i+1)
		sent := make(map[string]int64)
		for name, removal := range registry.Removals() {
			sent[name] = removal.Generation
		}
		require.Len(t, sent, len(step.Sent), "step %d", i+1)
		for name, generation := range step.Sent {
			require.Equal(t, generation, sent[name], "step %d: %s", i+1, name)
		}
	}
}

type groupCase struct {
	Name string `yaml:"name"`
	// Servers are the numbers of servers by data centre. Reports are the requests in
	// flight that other data centres tell, by group, and Age is how old they are.
	Servers map[string]int                        `yaml:"servers"`
	Reports map[string]map[spokebackend.Group]int `yaml:"reports"`
	Age     spokeclock.Millis                     `yaml:"age_millis"`
	// Want is what each server of a data centre counts as having in flight.
	Want map[string]int `yaml:"want"`
}

func otherVersion(instance spokecloud.Instance) string {
	if instance.SoftwareVersion == "v1" {
		return "v2"
	}
	return "v1"
}

// TestRemoteInFlight checks what instances of other data centres, which are not
// peers, add to the load of servers. Without it, all servers that only they use
// look idle and attract the requests of everyone.
func TestRemoteInFlight(t *testing.T) {
	for _, c := range spokecase.Read[[]groupCase](t, "testdata/groups.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var clock spokeclock.Manual
			clock.Advance(1)
			registry := &spokebackend.Registry{DataCentre: "a", Clock: clock.Clock(), ListIsAuthoritative: true}
			var instances []spokecloud.Instance
			for dataCentre, count := range c.Servers {
				for i := range count {
					instance := newServer(dataCentre + string(rune('0'+i)))
					instance.DataCentre = dataCentre
					instance.SoftwareVersion = "v" + string(rune('1'+i%2))
					instances = append(instances, instance)
				}
			}
			registry.UpdateInstances(instances)
			for dataCentre, report := range c.Reports {
				registry.SetDataCentreInFlight(dataCentre, report)
			}
			clock.Advance(c.Age)
			byVersion := make(map[string]int)
			for _, candidate := range registry.Candidates("s", "") {
				require.Equal(t, c.Want[candidate.DataCentre], candidate.InFlight, candidate.Name)
				byVersion[candidate.SoftwareVersion] += candidate.InFlight
			}
			// A rollout ends once nothing is in flight at the old version.
			require.Equal(t, byVersion["v1"], registry.InFlightBeside("s", "v2"))
			require.Equal(t, byVersion["v2"], registry.InFlightBeside("s", "v1"))
			require.Equal(t, byVersion["v1"]+byVersion["v2"], registry.InFlightBeside("s", "v3"))
			require.Zero(t, registry.InFlightBeside("other", "v1"))
			_, begun := registry.BeginAttempt(instances[0].Name, false, func(spokebackend.Removal) {})
			require.True(t, begun)
			require.Equal(t, byVersion[instances[0].SoftwareVersion]+1, registry.InFlightBeside("s", otherVersion(instances[0])))
		})
	}
}
