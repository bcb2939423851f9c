package spokerollout

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

type rolloutCase struct {
	Name  string        `yaml:"name"`
	Steps []rolloutStep `yaml:"steps"`
}

// rolloutStep is one thing that happens, after a time in which all instances check.
type rolloutStep struct {
	Note  string            `yaml:"note"`
	After spokeclock.Millis `yaml:"after_millis"`
	// At is the instance that the step is about. Empty means all.
	At string `yaml:"at"`
	// Order is read, as the only one, with Version as the version of its row. Withdrawn
	// removes it. IsRestored says that the table has been restored.
	Order      *rolloutOrder `yaml:"order"`
	Withdrawn  bool          `yaml:"withdrawn"`
	IsRestored bool          `yaml:"restored"`
	// Status is a status row that is read, and NoStatus that there is none.
	Status   *rolloutRow `yaml:"status"`
	NoStatus bool        `yaml:"no_status"`
	// Restart starts an instance anew.
	Restart bool `yaml:"restart"`
	// Answers arrive at the instance.
	Answers []rolloutAnswers `yaml:"answers"`
	// Heartbeats lets all instances tell each other their counters.
	Heartbeats bool `yaml:"heartbeats"`
	// Unchecked leaves out the check before Want is looked at.
	Unchecked bool `yaml:"unchecked"`
	// Old is the number of requests in flight at old servers.
	Old  *int         `yaml:"old"`
	Want *rolloutWant `yaml:"want"`
}

type rolloutOrder struct {
	To      string             `yaml:"to"`
	Limit   spokeclock.Millis  `yaml:"limit_millis"`
	Version spoketable.Version `yaml:"version"`
}

type rolloutRow struct {
	State   State              `yaml:"state"`
	To      string             `yaml:"to"`
	Version spoketable.Version `yaml:"version"`
	Era     spoketable.Era     `yaml:"era"`
}

type rolloutAnswers struct {
	Version string            `yaml:"version"`
	Count   int               `yaml:"count"`
	Failed  int               `yaml:"failed"`
	Broken  int               `yaml:"broken"`
	First   spokeclock.Millis `yaml:"first_millis"`
}

// rolloutWant is what the instances must do.
type rolloutWant struct {
	// Canary and Rest are the versions, of v1 to v3, that a request with the lowest and the
	// highest draw may go to.
	Canary string `yaml:"canary"`
	Rest   string `yaml:"rest"`
	// Writes is the state that would be written over the row that was read last, or
	// "nothing".
	Writes string `yaml:"writes"`
}

// TestRollouts guards against orders, status rows and reports of peers that are followed in
// the wrong order or for too long.
func TestRollouts(t *testing.T) {
	for _, c := range spokecase.Read[[]rolloutCase](t, "testdata/rollouts.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			s := &rolloutScript{T: t, instances: make(map[string]*Rollouts), rows: make(map[string]StatusRow)}
			s.clock = s.time.Clock()
			for _, name := range []string{"a", "b"} {
				s.start(name)
				s.instances[name].SetOrders(nil, false)
				s.instances[name].SetStatuses(nil)
			}
			for i, step := range c.Steps {
				s.run(i, step)
			}
		})
	}
}

// TestCountsOfRuns guards against what an ended run of a peer has told and still counts.
func TestCountsOfRuns(t *testing.T) {
	s := &rolloutScript{T: t, instances: make(map[string]*Rollouts), rows: make(map[string]StatusRow)}
	s.clock = s.time.Clock()
	for _, name := range []string{"a", "b"} {
		s.start(name)
		s.apply(name, rolloutStep{Order: &rolloutOrder{To: "v2", Limit: 12000, Version: 5}})
	}
	s.apply("b", rolloutStep{Answers: []rolloutAnswers{{Version: "v1", Count: 10}, {Version: "v2", Count: 5}}})
	told := func() (sum int64) {
		for _, cells := range s.instances["a"].told.totals {
			for _, count := range cells {
				sum += count
			}
		}
		return sum
	}
	counts := s.instances["b"].Counts()
	s.instances["a"].SetPeerCounts("b", 1, counts)
	before := told()
	require.Positive(t, before)
	s.instances["a"].SetPeerCounts("b", 1, counts)
	require.Equal(t, before, told())
	s.instances["a"].SetPeerCounts("b", 2, nil)
	require.Zero(t, told())
}

type rolloutScript struct {
	*testing.T
	time       spokeclock.Manual
	clock      *spokeclock.Clock
	instances  map[string]*Rollouts
	generation int64
	rows       map[string]StatusRow
	old        int
}

func (s *rolloutScript) start(name string) {
	s.generation++
	s.instances[name] = &Rollouts{
		ExposeShare: 0.1, Clock: s.clock, OldInFlightFunc: func(string, string) int { return s.old },
		VersionsFunc: func(string) map[string]int { return map[string]int{"v1": 4, "v2": 4, "v3": 4} },
	}
}

func (s *rolloutScript) run(index int, step rolloutStep) {
	s.wait(step.After)
	if step.Old != nil {
		s.old = *step.Old
	}
	for _, name := range step.names() {
		s.apply(name, step)
	}
	if step.Heartbeats {
		s.instances["a"].SetPeerCounts("b", s.generation, s.instances["b"].Counts())
		s.instances["b"].SetPeerCounts("a", s.generation, s.instances["a"].Counts())
	}
	if step.Want == nil {
		return
	}
	if !step.Unchecked {
		s.check()
	}
	for _, name := range step.names() {
		require.Equal(s, *step.Want, s.observed(name), "step %d at %s: %s", index+1, name, step.Note)
	}
}

// names returns the instances that a step is about.
func (step rolloutStep) names() []string {
	if step.At != "" {
		return []string{step.At}
	}
	return []string{"a", "b"}
}

func (s *rolloutScript) wait(span spokeclock.Millis) {
	for range span / CheckInterval {
		s.time.Advance(CheckInterval)
		s.check()
	}
}

func (s *rolloutScript) check() {
	for _, instance := range s.instances {
		instance.Check()
	}
}

func (s *rolloutScript) apply(name string, step rolloutStep) {
	if step.Restart {
		s.start(name)
	}
	instance := s.instances[name]
	if step.Status != nil {
		s.rows[name] = StatusRow{Status: Status{State: step.Status.State, To: step.Status.To}, Version: step.Status.Version, Era: step.Status.Era}
		instance.SetStatuses(map[string]StatusRow{simulatedService: s.rows[name]})
	}
	if step.NoStatus {
		s.rows[name] = StatusRow{}
		instance.SetStatuses(nil)
	}
	if step.Order != nil {
		instance.SetOrders(map[string]Order{simulatedService: {To: step.Order.To, TimeLimit: step.Order.Limit, Version: step.Order.Version}}, step.IsRestored)
	}
	if step.Withdrawn {
		instance.SetOrders(nil, step.IsRestored)
	}
	for _, answers := range step.Answers {
		for i := range answers.Count {
			instance.Record(Answer{
				Service: simulatedService, Route: "r", Version: answers.Version, IsAnswer: true, IsFailed: i < answers.Failed, IsBroken: i < answers.Broken,
				FirstEvent: max(1, answers.First), Duration: max(1, answers.First),
			})
		}
	}
}

func (s *rolloutScript) observed(name string) rolloutWant {
	allowed := func(draw float64) string {
		var versions []string
		for _, version := range []string{"v1", "v2", "v3"} {
			if s.instances[name].Filter(simulatedService, draw, "").Allows(version) {
				versions = append(versions, version)
			}
		}
		return strings.Join(versions, " ")
	}
	writes := "nothing"
	if next, isDue := s.instances[name].NextStatus(simulatedService, s.rows[name]); isDue {
		writes = string(next.State) + " " + next.To
	}
	var carrying []string
	for _, version := range []string{"v1", "v2", "v3"} {
		if s.instances[name].CarriesTraffic(simulatedService, version) {
			carrying = append(carrying, version)
		}
	}
	// The fleet must not count servers to which most requests don't go.
	require.Equal(s, allowed(0.999), strings.Join(carrying, " "), "versions that carry traffic")
	return rolloutWant{Canary: allowed(0), Rest: allowed(0.999), Writes: writes}
}
