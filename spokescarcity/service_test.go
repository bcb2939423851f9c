package spokescarcity_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokescarcity"
)

type decisionCase struct {
	Name string `yaml:"name"`
	// Guards names the failure that the case guards against.
	Guards            string          `yaml:"guards"`
	RefusesDisplacing bool            `yaml:"refuses_displacing"`
	Phases            []decisionPhase `yaml:"phases"`
}

// decisionPhase is a time in which requests come at a steady pace.
type decisionPhase struct {
	Length spokeclock.Millis `yaml:"length_millis"`
	// Pause is the time without any call before it, Jump a jump of the clock.
	Pause spokeclock.Millis `yaml:"pause_millis"`
	Jump  spokeclock.Millis `yaml:"jump_millis"`
	Kinds []decisionKind    `yaml:"kinds"`
	// IsShort is the expected state at the end.
	IsShort bool `yaml:"is_short"`
}

type decisionKind struct {
	Route     string            `yaml:"route"`
	Workspace string            `yaml:"workspace"`
	Rank      int               `yaml:"rank"`
	Priority  int               `yaml:"priority"`
	Every     spokeclock.Millis `yaml:"every_millis"`
	Target    spokeclock.Millis `yaml:"target_millis"`
	Forecast  float64           `yaml:"forecast_millis"`
	// Work is the engine time of a request; every tenth has ten times it if HasLarge is set.
	Work     spokeclock.Millis `yaml:"work_millis"`
	HasLarge bool              `yaml:"has_large"`
	Left     spokeclock.Millis `yaml:"left_millis"`
	// Answer is the time after which the first event comes, zero if none does. IsFull is
	// whether a full server refuses the request instead.
	Answer spokeclock.Millis `yaml:"answer_millis"`
	IsFull bool              `yaml:"is_full"`
	// Refused has the least and the greatest allowed part of refused requests, and
	// LargeRefused of the large ones. Reason is the expected reason, if any.
	Refused      [2]float64           `yaml:"refused"`
	LargeRefused [2]float64           `yaml:"large_refused"`
	Reason       spokescarcity.Reason `yaml:"reason"`
	// Late is the allowed part of the admitted requests that are marked late.
	Late *[2]float64 `yaml:"late"`
}

// decisionRun is a service with the first events that are on their way.
type decisionRun struct {
	service spokescarcity.Service
	random  *rand.Rand
	now     spokeclock.Millis
	answers []pendingAnswer
}

type pendingAnswer struct {
	at       spokeclock.Millis
	admitted *spokescarcity.AdmittedRequest
}

// decisionCounts are the decisions on one kind's requests.
type decisionCounts struct {
	all, refused, large, largeRefused, late int
}

// TestDecisions guards against the failures that the cases name.
func TestDecisions(t *testing.T) {
	for _, c := range spokecase.Read[[]decisionCase](t, "testdata/decisions.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			require.NotEmpty(t, c.Guards)
			r := &decisionRun{service: spokescarcity.Service{RefusesDisplacing: c.RefusesDisplacing}, random: rand.New(rand.NewPCG(1, 2)), now: 5000}
			for i, phase := range c.Phases {
				r.runPhase(t, i, phase)
			}
		})
	}
}

func (r *decisionRun) runPhase(t *testing.T, index int, phase decisionPhase) {
	r.now += phase.Pause + phase.Jump
	counts := make([]decisionCounts, len(phase.Kinds))
	for end := r.now + phase.Length; r.now < end; r.now++ {
		r.deliver()
		for i, kind := range phase.Kinds {
			if r.now%kind.Every == 0 {
				r.decide(t, kind, &counts[i])
			}
		}
	}
	require.Equal(t, phase.IsShort, r.service.IsShort(), "phase %d", index+1)
	for i, kind := range phase.Kinds {
		c := counts[i]
		requirePart(t, kind.Refused, c.refused, c.all, "phase %d, %s %s, refused", index+1, kind.Route, kind.Workspace)
		if kind.HasLarge {
			requirePart(t, kind.LargeRefused, c.largeRefused, c.large, "phase %d, %s, large ones refused", index+1, kind.Route)
		}
		if kind.Late != nil {
			requirePart(t, *kind.Late, c.late, c.all-c.refused, "phase %d, %s, late", index+1, kind.Route)
		}
	}
}

func requirePart(t *testing.T, bounds [2]float64, count, all int, format string, args ...any) {
	t.Helper()
	part := float64(count) / float64(max(1, all))
	require.GreaterOrEqualf(t, part, bounds[0], format, args...)
	require.LessOrEqualf(t, part, bounds[1], format, args...)
}

func (r *decisionRun) deliver() {
	r.answers = slices.DeleteFunc(r.answers, func(a pendingAnswer) bool {
		if a.at > r.now {
			return false
		}
		r.service.Record(a.admitted, spokescarcity.EventFirst, r.now)
		return true
	})
}

func (r *decisionRun) decide(t *testing.T, kind decisionKind, counts *decisionCounts) {
	isLarge := kind.HasLarge && counts.all%10 == 9
	work := kind.Work
	if isLarge {
		work *= 10
		counts.large++
	}
	counts.all++
	verdict := r.service.Decide(spokescarcity.Request{
		Service: "s", Route: kind.Route, Workspace: kind.Workspace, Rank: kind.Rank, Priority: kind.Priority, Target: kind.Target, Forecast: kind.Forecast,
		EngineTime: work, TimeLeft: kind.Left, CallerTimeLeft: kind.Left,
	}, r.now, r.random.Float64())
	if verdict.IsRefused() {
		counts.refused++
		if isLarge {
			counts.largeRefused++
		}
		if kind.Reason != "" {
			require.Equal(t, kind.Reason, verdict.Reason())
		}
		require.Nil(t, verdict.AdmittedRequest())
		require.Positive(t, verdict.RetryAfter())
		require.LessOrEqual(t, verdict.RetryAfter(), max(1, kind.Left/3))
		return
	}
	require.Zero(t, verdict.RetryAfter())
	if verdict.IsLate() {
		counts.late++
	}
	switch {
	case kind.IsFull:
		r.service.Record(verdict.AdmittedRequest(), spokescarcity.EventFull, r.now)
		r.service.Record(verdict.AdmittedRequest(), spokescarcity.EventEnd, r.now)
	case kind.Answer > 0:
		r.answers = append(r.answers, pendingAnswer{at: r.now + kind.Answer, admitted: verdict.AdmittedRequest()})
	}
}

// TestConcurrentUse guards against an admission that is unsafe for the requests of several
// goroutines. It shows faults under the race detector only.
func TestConcurrentUse(*testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	admission := &spokescarcity.Admission{Clock: clock.Clock(), RefusesDisplacing: true}
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for n := range 200 {
				verdict := admission.Decide(spokescarcity.Request{
					Service: "s", Route: strconv.Itoa(i % 3), Workspace: strconv.Itoa(i), Target: 100, Forecast: 200, EngineTime: 10, TimeLeft: 5000, CallerTimeLeft: 5000,
				})
				if admitted := verdict.AdmittedRequest(); admitted != nil && n%2 == 0 {
					admission.Record("s", admitted, spokescarcity.EventFirst)
				}
				clock.Advance(5)
			}
		})
	}
	group.Wait()
}
