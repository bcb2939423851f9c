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
	// ErrorInvalidPlan means that a plan failed validation.
	ErrorInvalidPlan ErrorKind = "invalid_plan"
	// ErrorPlotFailed means that a plot could not be drawn.
	ErrorPlotFailed ErrorKind = "plot"
)

// RequestShape selects the API that a request uses and how its answer is
// checked.
type RequestShape string

const (
	// ShapeChat is a chat completion request to a model service.
	ShapeChat RequestShape = "chat"
	// ShapeBooking is a POST with an idempotency key to a plain service, which
	// must execute it at most once.
	ShapeBooking RequestShape = "booking"
	// ShapeStatus is a GET to a plain service, which may be repeated.
	ShapeStatus RequestShape = "status"
)

// RequestKind is one kind of request in the mix.
type RequestKind struct {
	// Name identifies the kind in results.
	Name string `json:"name" yaml:"name"`
	// Shape selects the API.
	Shape RequestShape `json:"shape" yaml:"shape"`
	// Service is the name of the requested service.
	Service string `json:"service" yaml:"service"`
	// Path is the path within a plain service.
	Path string `json:"path" yaml:"path"`
	// WorkspaceKey is the API key of the workspace.
	WorkspaceKey string `json:"key" yaml:"key"`
	// Weight is the kind's share of the mix, relative to the other weights.
	Weight int `json:"weight" yaml:"weight"`
	// PromptWords is the length of the user message, without its first words
	// "request N:".
	PromptWords int `json:"prompt_words" yaml:"prompt_words"`
	// SharedPrefixWords is the length of a system message that all requests of
	// the workspace share. Zero means no system message.
	SharedPrefixWords int `json:"shared_words" yaml:"shared_words"`
	// AnswerTokens is the length of a chat answer.
	AnswerTokens int `json:"tokens" yaml:"tokens"`
	// Stream requests the answer as server-sent events.
	Stream bool `json:"stream" yaml:"stream"`
	// FirstTokenTarget is the latency target of the first token. Zero means no
	// target.
	FirstTokenTarget spokeclock.Millis `json:"first_token_target_millis" yaml:"first_token_target_millis"`
	// MaxRetries is the largest number of retries after the first try.
	MaxRetries int `json:"repeats" yaml:"repeats"`
}

// Phase is a period with a constant mean request rate.
type Phase struct {
	// Rate is the mean number of requests per second.
	Rate float64 `json:"requests_per_second" yaml:"requests_per_second"`
	// Duration is the length of the phase.
	Duration spokeclock.Millis `json:"length_millis" yaml:"length_millis"`
}

// Plan describes the traffic of one run.
type Plan struct {
	// Seed makes the schedule and the prompts reproducible.
	Seed uint64 `json:"seed" yaml:"seed"`
	// Targets are the URLs of entry instances. Tries go to them in turn, as
	// behind the platform's load balancer.
	Targets []string `json:"targets" yaml:"targets"`
	// Mix lists the kinds of requests to send.
	Mix []RequestKind `json:"mix" yaml:"mix"`
	// Phases run one after the other.
	Phases []Phase `json:"phases" yaml:"phases"`
	// RequestTimeout limits each try of a request. Zero means two minutes.
	RequestTimeout spokeclock.Millis `json:"timeout_millis" yaml:"timeout_millis"`
}

const defaultRequestTimeout = 120 * spokeclock.Second

// Validate returns an error of kind ErrorInvalidPlan for the first invalid
// field.
func (p *Plan) Validate() error {
	switch {
	case len(p.Targets) == 0:
		return spokeerror.Newf("validate plan", ErrorInvalidPlan, "targets is empty; allowed: at least one URL")
	case len(p.Mix) == 0:
		return spokeerror.Newf("validate plan", ErrorInvalidPlan, "mix is empty; allowed: at least one kind of request")
	case len(p.Phases) == 0:
		return spokeerror.Newf("validate plan", ErrorInvalidPlan, "phases is empty; allowed: at least one phase")
	}
	for _, kind := range p.Mix {
		if kind.Weight <= 0 {
			return spokeerror.Newf("validate plan", ErrorInvalidPlan, "mix.%s.weight is %d; allowed: positive", kind.Name, kind.Weight)
		}
		if kind.Shape != ShapeChat && kind.Shape != ShapeBooking && kind.Shape != ShapeStatus {
			return spokeerror.Newf("validate plan", ErrorInvalidPlan, "mix.%s.shape is %q; allowed: chat, booking, status", kind.Name, kind.Shape)
		}
	}
	return nil
}

// scheduledRequest is one request of the schedule.
type scheduledRequest struct {
	number int
	// startOffset is the intended start, from the start of the run.
	startOffset spokeclock.Millis
	phase       int
	kind        RequestKind
	prompt      string
}

// schedule returns all requests of the plan in the order of their starts, as a
// Poisson process in each phase.
func (p *Plan) schedule() []scheduledRequest {
	random := rand.New(rand.NewPCG(p.Seed, p.Seed)) //nolint:gosec // The schedule has to be reproducible.
	totalWeight := 0
	for _, kind := range p.Mix {
		totalWeight += kind.Weight
	}
	var requests []scheduledRequest
	phaseStart := 0.0
	for i, phase := range p.Phases {
		phaseEnd := phaseStart + float64(phase.Duration)
		for start := phaseStart + randomInterarrivalMillis(random, phase.Rate); start < phaseEnd; start += randomInterarrivalMillis(random, phase.Rate) {
			kind := kindAtWeight(p.Mix, random.IntN(totalWeight))
			requests = append(requests, scheduledRequest{
				number: len(requests), startOffset: spokeclock.Millis(start), phase: i, kind: kind,
				prompt: randomWords(random, kind.PromptWords, fmt.Sprintf("request %d:", len(requests))),
			})
		}
		phaseStart = phaseEnd
	}
	return requests
}

// randomInterarrivalMillis returns an exponentially distributed time to the next
// request. With a rate of zero it is longer than any phase.
func randomInterarrivalMillis(random *rand.Rand, requestsPerSecond float64) float64 {
	if requestsPerSecond <= 0 {
		return float64(defaultRequestTimeout) * float64(defaultRequestTimeout)
	}
	return random.ExpFloat64() * float64(spokeclock.Second) / requestsPerSecond
}

// kindAtWeight returns the kind whose range of cumulative weights contains
// position.
func kindAtWeight(mix []RequestKind, position int) RequestKind {
	for _, kind := range mix {
		position -= kind.Weight
		if position < 0 {
			return kind
		}
	}
	return mix[len(mix)-1]
}

const vocabularySize = 500

// randomWords returns firstWords followed by count random words.
func randomWords(random *rand.Rand, count int, firstWords string) string {
	list := make([]string, 0, count+1)
	list = append(list, firstWords)
	for range count {
		list = append(list, fmt.Sprintf("w%d", random.IntN(vocabularySize)))
	}
	return strings.Join(list, " ")
}

// sharedPrefix returns the system message that all requests of the kind's
// workspace share.
func (k RequestKind) sharedPrefix() string {
	random := rand.New(rand.NewPCG(uint64(k.SharedPrefixWords), uint64(len(k.WorkspaceKey)))) //nolint:gosec // The prefix has to be reproducible.
	return randomWords(random, k.SharedPrefixWords, "workspace "+k.WorkspaceKey+":")
}
