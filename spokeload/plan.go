package spokeload

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// ErrorKind is the kind of an error of this package.
type ErrorKind string

const (
	// ErrorInvalidPlan says that a plan is not allowed.
	ErrorInvalidPlan ErrorKind = "invalid_plan"
	// ErrorPlotFailed says that a plot could not be drawn.
	ErrorPlotFailed ErrorKind = "plot"
)

// RequestShape is what a kind of request looks like.
type RequestShape string

const (
	// ShapeChat is a conversation with a model service.
	ShapeChat RequestShape = "chat"
	// ShapeBooking is a request to a plain service that may run once.
	ShapeBooking RequestShape = "booking"
	// ShapeStatus is a request to a plain service that may be repeated.
	ShapeStatus RequestShape = "status"
)

// RequestKind is one kind of request in the mix.
type RequestKind struct {
	// Name names the kind in results.
	Name string `json:"name" yaml:"name"`
	// Shape is what it looks like.
	Shape RequestShape `json:"shape" yaml:"shape"`
	// Service is whom it asks.
	Service string `json:"service" yaml:"service"`
	// Path is the path within a plain service.
	Path string `json:"path" yaml:"path"`
	// WorkspaceKey is the workspace's key.
	WorkspaceKey string `json:"key" yaml:"key"`
	// Weight is its part of the mix.
	Weight int `json:"weight" yaml:"weight"`
	// PromptWords is the length of the last turn.
	PromptWords int `json:"prompt_words" yaml:"prompt_words"`
	// SharedPrefixWords is the length of a first turn that all requests of the
	// workspace share.
	SharedPrefixWords int `json:"shared_words" yaml:"shared_words"`
	// AnswerTokens is the length of the answer.
	AnswerTokens int `json:"tokens" yaml:"tokens"`
	// Stream asks for events.
	Stream bool `json:"stream" yaml:"stream"`
	// FirstTokenTarget is the latency target of the first token.
	FirstTokenTarget spokeclock.Millis `json:"first_token_target_millis" yaml:"first_token_target_millis"`
	// MaxRetries is how often a refused request is tried again when told to.
	MaxRetries int `json:"repeats" yaml:"repeats"`
}

// Phase is a span of steady load.
type Phase struct {
	// Rate is the requests for each second.
	Rate float64 `json:"requests_per_second" yaml:"requests_per_second"`
	// Duration is how long it lasts.
	Duration spokeclock.Millis `json:"length_millis" yaml:"length_millis"`
}

// Plan is a whole experiment.
type Plan struct {
	// Seed makes the schedule and the prompts repeatable.
	Seed uint64 `json:"seed" yaml:"seed"`
	// Targets are the URLs of entry instances, which take turns as behind the
	// platform's balancer.
	Targets []string `json:"targets" yaml:"targets"`
	// Mix is what is asked.
	Mix []RequestKind `json:"mix" yaml:"mix"`
	// Phases follow each other.
	Phases []Phase `json:"phases" yaml:"phases"`
	// RequestTimeout bounds each request. Zero means two minutes.
	RequestTimeout spokeclock.Millis `json:"timeout_millis" yaml:"timeout_millis"`
}

const defaultTimeout = 120 * spokeclock.Second

// Validate returns an error of kind ErrorPlan for the first thing not allowed.
func (p *Plan) Validate() error {
	switch {
	case len(p.Targets) == 0:
		return spokeerror.Newf("check plan", ErrorInvalidPlan, "targets is empty; allowed: at least one URL")
	case len(p.Mix) == 0:
		return spokeerror.Newf("check plan", ErrorInvalidPlan, "mix is empty; allowed: at least one kind")
	case len(p.Phases) == 0:
		return spokeerror.Newf("check plan", ErrorInvalidPlan, "phases is empty; allowed: at least one phase")
	}
	for _, kind := range p.Mix {
		if kind.Weight <= 0 {
			return spokeerror.Newf("check plan", ErrorInvalidPlan, "mix.%s.weight is %d; allowed: positive", kind.Name, kind.Weight)
		}
		if kind.Shape != ShapeChat && kind.Shape != ShapeBooking && kind.Shape != ShapeStatus {
			return spokeerror.Newf("check plan", ErrorInvalidPlan, "mix.%s.shape is %q; allowed: chat, booking, status", kind.Name, kind.Shape)
		}
	}
	return nil
}

// job is one scheduled request.
type job struct {
	number int
	at     spokeclock.Millis
	phase  int
	kind   RequestKind
	prompt string
}

// schedule draws the arrivals of the whole plan.
func (p *Plan) schedule() []job {
	random := rand.New(rand.NewPCG(p.Seed, p.Seed)) //nolint:gosec // A schedule has to be repeatable.
	total := 0
	for _, kind := range p.Mix {
		total += kind.Weight
	}
	var jobs []job
	start := 0.0
	for i, phase := range p.Phases {
		end := start + float64(phase.Duration)
		for at := start + gap(random, phase.Rate); at < end; at += gap(random, phase.Rate) {
			kind := draw(p.Mix, random.IntN(total))
			jobs = append(jobs, job{
				number: len(jobs), at: spokeclock.Millis(at), phase: i, kind: kind,
				prompt: words(random, kind.PromptWords, fmt.Sprintf("request %d:", len(jobs))),
			})
		}
		start = end
	}
	return jobs
}

// gap draws the time to the next arrival, in milliseconds.
func gap(random *rand.Rand, perSecond float64) float64 {
	if perSecond <= 0 {
		return float64(defaultTimeout) * float64(defaultTimeout)
	}
	return random.ExpFloat64() * float64(spokeclock.Second) / perSecond
}

func draw(mix []RequestKind, at int) RequestKind {
	for _, kind := range mix {
		at -= kind.Weight
		if at < 0 {
			return kind
		}
	}
	return mix[len(mix)-1]
}

const vocabulary = 500

func words(random *rand.Rand, count int, first string) string {
	list := make([]string, 0, count+1)
	list = append(list, first)
	for range count {
		list = append(list, fmt.Sprintf("w%d", random.IntN(vocabulary)))
	}
	return strings.Join(list, " ")
}

// shared returns the first turn that all requests of a kind's workspace share.
func (k RequestKind) shared() string {
	random := rand.New(rand.NewPCG(uint64(k.SharedPrefixWords), uint64(len(k.WorkspaceKey)))) //nolint:gosec // It has to be repeatable.
	return words(random, k.SharedPrefixWords, "workspace "+k.WorkspaceKey+":")
}
