package spokebackend_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

type speedsCase struct {
	Name      string `yaml:"name"`
	Instances int    `yaml:"instances"`
	Servers   int    `yaml:"servers"`
	Slots     int    `yaml:"slots"`
	// Speeds are those of the servers in turn.
	Speeds []float64 `yaml:"speeds"`
	// The engines' step and prefill at a speed of 1.
	StepMillis           float64 `yaml:"step_millis"`
	StepMillisPerRequest float64 `yaml:"step_millis_per_request"`
	PrefillRate          float64 `yaml:"prefill_tokens_per_milli"`
	TokensPerEvent       int     `yaml:"tokens_per_event"`
	// Noise slows down each of a number of servers by a factor, for moments.
	Noise struct {
		Share  float64           `yaml:"share"`
		Factor float64           `yaml:"factor"`
		Length spokeclock.Millis `yaml:"length_millis"`
	} `yaml:"noise"`
	Kinds []speedsKind `yaml:"kinds"`
	// WarmUp is the time before the requests that are measured, which Measured is long.
	WarmUp   spokeclock.Millis `yaml:"warm_up_millis"`
	Measured spokeclock.Millis `yaml:"measured_millis"`
	// Work is the least and the greatest allowed ratio of the work that servers of a speed
	// get each to what is in proportion to their speed.
	Work [2]float64 `yaml:"work"`
	// Late is the greatest allowed share of first events after their target, LateLong of those
	// of long prompts.
	Late     float64 `yaml:"late"`
	LateLong float64 `yaml:"late_long"`
}

type speedsKind struct {
	PerSecond float64           `yaml:"per_second"`
	Shared    int               `yaml:"shared"`
	Own       int               `yaml:"own"`
	Events    int               `yaml:"events"`
	Target    spokeclock.Millis `yaml:"target_millis"`
	IsLong    bool              `yaml:"is_long"`
}

// TestSpeeds guards against choices that treat servers of different speeds alike, so that
// requests wait at slow servers while fast ones are idle. Each instance sees few answers of
// each server itself and learns late of the requests of the others.
func TestSpeeds(t *testing.T) {
	for _, c := range spokecase.Read[[]speedsCase](t, "testdata/speeds.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			newSpeedsRun(c).run(t)
		})
	}
}

// answer is a request at an engine.
type answer struct {
	kind       speedsKind
	instance   *speedsInstance
	attempt    *spokebackend.Attempt
	key        uint64
	sentAt     spokeclock.Millis
	unread     int
	tokens     int
	isMeasured bool
}

// engine runs its answers in steps, each with a part of one prompt.
type engine struct {
	name             string
	speed            float64
	slots            int
	running, waiting []*answer
	cached           map[uint64]bool
	stepEndsAt       float64
	slowUntil        spokeclock.Millis
	work             float64
}

type speedsInstance struct {
	registry *spokebackend.Registry
	policy   spokeroute.Policy
	prefixes spokeroute.PrefixLocations
	sent     map[spokebackend.ID]spokebackend.InFlight
}

type speedsRun struct {
	speedsCase
	random    *rand.Rand
	clock     spokeclock.Manual
	instances []*speedsInstance
	engines   map[string]*engine
	ordered   []*engine
	messages  map[spokeclock.Millis][]func()
	// delays are the times to the first events that were measured, late those after their
	// target.
	delays []spokeclock.Millis
	late   int
	// long is the number of long prompts among them, lateLong of those that were late.
	long, lateLong int
}

// chunkTokens is the part of a prompt that an engine reads in a step.
const (
	chunkTokens       = 512
	speedsWorkspaces  = 16
	heartbeatInterval = 1300
	minMessageDelay   = 300
	maxMessageDelay   = 700
)

func newSpeedsRun(c speedsCase) *speedsRun {
	r := &speedsRun{speedsCase: c, random: rand.New(rand.NewPCG(1, 2)), engines: make(map[string]*engine), messages: make(map[spokeclock.Millis][]func())}
	r.clock.Advance(1)
	var listed []spokecloud.Instance
	for i := range c.Servers {
		e := &engine{name: fmt.Sprintf("lm-%d", i), speed: c.Speeds[i%len(c.Speeds)], slots: c.Slots, cached: make(map[uint64]bool)}
		r.engines[e.name] = e
		r.ordered = append(r.ordered, e)
		instance := newServer(e.name)
		instance.Slots = c.Slots
		listed = append(listed, instance)
	}
	for i := range c.Instances {
		instance := &speedsInstance{
			registry: &spokebackend.Registry{DataCentre: "a", Clock: r.clock.Clock(), ListIsAuthoritative: true},
			policy:   spokeroute.Policy{Routing: spokeconfig.RoutingEarliestFirstToken, Random: rand.New(rand.NewPCG(3, uint64(i)))},
		}
		instance.registry.UpdateInstances(listed)
		r.instances = append(r.instances, instance)
		r.later(spokeclock.Millis(r.random.IntN(heartbeatInterval)), func() { r.heartbeat(i) })
	}
	return r
}

func (r *speedsRun) later(delay spokeclock.Millis, do func()) {
	at := r.clock.Clock().Now() + max(1, delay)
	r.messages[at] = append(r.messages[at], do)
}

// heartbeat tells the other instances the requests in flight, 0.3 to 0.7 s late and every
// 1.3 s.
func (r *speedsRun) heartbeat(index int) {
	sender := r.instances[index]
	inFlight := sender.registry.LocalInFlight()
	changes := make(map[spokebackend.ID]spokebackend.InFlight)
	for id, uses := range inFlight {
		uses.PrefillUnits = 0
		changes[id] = uses
	}
	for id := range sender.sent {
		if _, found := inFlight[id]; !found {
			changes[id] = spokebackend.InFlight{}
		}
	}
	sender.sent = inFlight
	for i, receiver := range r.instances {
		if i != index {
			r.later(spokeclock.Millis(minMessageDelay+r.random.IntN(maxMessageDelay-minMessageDelay)), func() {
				receiver.registry.UpdatePeerInFlight(fmt.Sprint(index), changes)
			})
		}
	}
	r.later(heartbeatInterval, func() { r.heartbeat(index) })
}

func (r *speedsRun) run(t *testing.T) {
	for now := spokeclock.Millis(1); now < r.WarmUp+r.Measured; now++ {
		for _, do := range r.messages[now] {
			do()
		}
		delete(r.messages, now)
		for _, kind := range r.Kinds {
			if r.random.Float64() < kind.PerSecond/1000 {
				r.send(t, kind, now)
			}
		}
		for _, e := range r.ordered {
			if now%r.noiseLength() == 0 && r.random.Float64() < r.Noise.Share {
				e.slowUntil = now + r.noiseLength()
			}
			r.runEngine(e, now)
		}
		r.clock.Advance(1)
	}
	r.check(t)
}

func (r *speedsRun) noiseLength() spokeclock.Millis { return max(1, r.Noise.Length) }

func (r *speedsRun) send(t *testing.T, kind speedsKind, now spokeclock.Millis) {
	instance := r.instances[r.random.IntN(len(r.instances))]
	key := uint64(kind.Events*speedsWorkspaces+r.random.IntN(speedsWorkspaces)) + 1
	decision := instance.policy.Choose(instance.registry.Candidates("s", instance.prefixes.Server(key)), spokeroute.Request{
		PromptTokens: kind.Shared + kind.Own, SharedPrefixTokens: kind.Shared, EntryInstances: r.Instances, PrefixKey: key, Target: kind.Target,
	})
	attempt, begun := instance.registry.BeginAttempt(decision.Server(), false, func(spokebackend.Removal) {})
	require.True(t, begun)
	attempt.AddPrefill(decision.PrefillTokens())
	e := r.engines[decision.Server()]
	a := &answer{kind: kind, instance: instance, attempt: attempt, key: key, sentAt: now, unread: kind.Own, isMeasured: now >= r.WarmUp}
	if !e.cached[key] {
		a.unread += kind.Shared
	}
	e.waiting = append(e.waiting, a)
}

// runEngine runs the steps of an engine that end by now.
func (r *speedsRun) runEngine(e *engine, now spokeclock.Millis) {
	for e.stepEndsAt <= float64(now) {
		for len(e.waiting) > 0 && len(e.running) < e.slots {
			e.running = append(e.running, e.waiting[0])
			e.waiting = e.waiting[1:]
		}
		if len(e.running) == 0 {
			e.stepEndsAt = float64(now) + 1
			return
		}
		chunk := chunkTokens
		batch := len(e.running)
		e.running = slices.DeleteFunc(e.running, func(a *answer) bool { return r.stepAnswer(e, a, &chunk, now) })
		millis := (r.StepMillis + r.StepMillisPerRequest*float64(batch) + float64(chunkTokens-chunk)/r.PrefillRate) / e.speed
		if now < e.slowUntil {
			millis *= r.Noise.Factor
		}
		e.stepEndsAt += millis
	}
}

// stepAnswer runs a step of an answer, which may read the given part of a prompt, and reports
// whether the answer is complete.
func (r *speedsRun) stepAnswer(e *engine, a *answer, chunk *int, now spokeclock.Millis) bool {
	if a.unread > 0 {
		read := min(a.unread, *chunk)
		*chunk -= read
		a.unread -= read
		e.addWork(now >= r.WarmUp, float64(read)/r.PrefillRate)
		if a.unread > 0 {
			return false
		}
		e.cached[a.key] = true
	}
	a.tokens++
	e.addWork(now >= r.WarmUp, r.StepMillis/float64(e.slots)+r.StepMillisPerRequest)
	if a.tokens%r.TokensPerEvent != 0 {
		return false
	}
	if a.tokens == r.TokensPerEvent {
		r.recordFirst(e, a, now)
	}
	a.attempt.RecordToken(a.tokens == r.TokensPerEvent)
	if a.tokens < a.kind.Events*r.TokensPerEvent {
		return false
	}
	a.attempt.Succeed()
	a.instance.prefixes.SetServer(a.key, e.name)
	return true
}

// addWork adds work in milliseconds at a speed of 1.
func (e *engine) addWork(isMeasured bool, work float64) {
	if isMeasured {
		e.work += work
	}
}

func (r *speedsRun) recordFirst(e *engine, a *answer, now spokeclock.Millis) {
	workTime := 100.0
	if now < e.slowUntil {
		workTime *= r.Noise.Factor
	}
	a.instance.registry.RecordLoad(e.name, 0, spokeengine.Load{Slots: e.slots, Running: len(e.running), Waiting: len(e.waiting), WorkTime: int(workTime)})
	if !a.isMeasured {
		return
	}
	r.delays = append(r.delays, now-a.sentAt)
	isLate := now-a.sentAt > a.kind.Target
	if isLate {
		r.late++
	}
	if a.kind.IsLong {
		r.long++
	}
	if a.kind.IsLong && isLate {
		r.lateLong++
	}
}

// check compares the work of the servers of each speed with its proportion.
func (r *speedsRun) check(t *testing.T) {
	work, servers, total, speeds := make(map[float64]float64), make(map[float64]float64), 0.0, 0.0
	for _, e := range r.ordered {
		work[e.speed] += e.work
		servers[e.speed]++
		total += e.work
		speeds += e.speed
	}
	slices.Sort(r.delays)
	share := float64(r.late) / float64(len(r.delays))
	t.Logf("%d answers, first event after %d ms (middle), %d ms (95 in 100), late %.4f", len(r.delays), r.delays[len(r.delays)/2], r.delays[len(r.delays)*95/100], share)
	lateLong := float64(r.lateLong) / float64(max(1, r.long))
	t.Logf("%d long prompts, late %.4f", r.long, lateLong)
	require.LessOrEqual(t, lateLong, r.LateLong, "long prompts")
	for speed, sum := range work {
		ratio := sum / servers[speed] / (total * speed / speeds)
		t.Logf("speed %.1f: %.2f of its proportion", speed, ratio)
		require.GreaterOrEqual(t, ratio, r.Work[0], "speed %.1f", speed)
		require.LessOrEqual(t, ratio, r.Work[1], "speed %.1f", speed)
	}
	require.LessOrEqual(t, share, r.Late)
}

// TestReplacedServer guards against a server that is thought slow, or slow for a moment, since
// an earlier one of its name was.
func TestReplacedServer(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	registry := &spokebackend.Registry{DataCentre: "a", Clock: clock.Clock(), ListIsAuthoritative: true}
	var listed []spokecloud.Instance
	for _, name := range []string{"x", "b", "c"} {
		instance := newServer(name)
		instance.Generation = 1
		listed = append(listed, instance)
	}
	registry.UpdateInstances(listed)
	for _, instance := range listed {
		gap := usualGap
		if instance.Name == "x" {
			gap = 2 * usualGap
		}
		attempt := begin(t, registry, instance.Name)
		attempt.RecordToken(true)
		for range 40 {
			clock.Advance(gap)
			attempt.RecordToken(false)
		}
		attempt.Succeed()
	}
	for range 10 {
		registry.RecordLoad("x", 1, spokeengine.Load{Slots: 4, WorkTime: 600})
	}
	require.InDelta(t, 1.2*10000, float64(registry.EngineTime("s", 500000, 0, 4)), 200, "the mean speed is 1/1.2 of the median one")
	candidate := candidateOf(registry, "x")
	require.Greater(t, candidate.UsualDelay, 1.5)
	require.Greater(t, candidate.MomentaryDelay, slowThreshold)
	require.Less(t, candidate.TrafficShare, 1.0)
	listed[0].Generation = 2
	registry.UpdateInstances(listed)
	require.EqualValues(t, 10000, registry.EngineTime("s", 500000, 0, 4))
	candidate = candidateOf(registry, "x")
	require.InDelta(t, 1, candidate.UsualDelay, 0)
	require.InDelta(t, 1, candidate.MomentaryDelay, 0)
	require.InDelta(t, 1, candidate.TrafficShare, 0)
}

func candidateOf(registry *spokebackend.Registry, name string) spokeroute.Candidate {
	for _, candidate := range registry.Candidates("s", "") {
		if candidate.Name == name {
			return candidate
		}
	}
	return spokeroute.Candidate{}
}

// TestMomentarySlowness guards against new work for a server that reports to be slow at this
// moment, against giving it all back at once, and against more log lines than changes.
func TestMomentarySlowness(t *testing.T) {
	var clock spokeclock.Manual
	clock.Advance(1)
	var changes []bool
	registry := &spokebackend.Registry{DataCentre: "a", Clock: clock.Clock(), ListIsAuthoritative: true, ShareChangedFunc: func(candidate spokeroute.Candidate, _ spokeclock.Millis) {
		changes = append(changes, candidate.TrafficShare < 1)
	}}
	registry.UpdateInstances([]spokecloud.Instance{newServer("x"), newServer("y")})
	policy := spokeroute.Policy{Routing: spokeconfig.RoutingEarliestFirstToken, Random: rand.New(rand.NewPCG(1, 1))}
	chosen := func() int {
		count := 0
		for range 100 {
			if policy.Choose(registry.Candidates("s", ""), spokeroute.Request{PromptTokens: 500, EntryInstances: 1}).Server() == "x" {
				count++
			}
		}
		return count
	}
	require.InDelta(t, 50, chosen(), 20)
	for range 4 {
		clock.Advance(50)
		registry.RecordLoad("x", 0, spokeengine.Load{Slots: 4, WorkTime: 400})
	}
	require.Zero(t, chosen())
	var shares []float64
	for range 8 {
		for range 4 {
			clock.Advance(250)
			registry.RecordLoad("x", 0, spokeengine.Load{Slots: 4, WorkTime: 100})
		}
		shares = append(shares, candidateOf(registry, "x").TrafficShare)
	}
	require.InDeltaSlice(t, []float64{0.2, 0.4, 0.8, 1, 1, 1, 1, 1}, shares, 0.001)
	require.InDelta(t, 50, chosen(), 20)
	require.Equal(t, []bool{true, false}, changes)
}
