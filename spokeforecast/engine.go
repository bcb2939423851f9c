package spokeforecast

import (
	"math"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// The figures of an engine that nothing is known of.
const (
	// priorPrefillRate is the number of prompt tokens that an engine processes in a
	// millisecond; engines of the sizes served process 20 to 100.
	priorPrefillRate = 50.0
	// priorRunningDelay is the delay, in milliseconds, that each running request adds to the
	// steps in which a prompt is processed.
	priorRunningDelay = 1.5
	// maxUsualBatch is the batch that engines with many slots run within their latency
	// targets.
	maxUsualBatch = 24
)

// Engine has the fitted figures of a service's engines at the median speed. Nil stands for
// those that hold without evidence. It does not change.
type Engine struct {
	// prefillRate is in tokens a millisecond, runningDelay and firstDelay in milliseconds.
	prefillRate, runningDelay, firstDelay float64
}

// PrefillRate returns the number of prompt tokens that are processed in a millisecond.
func (e *Engine) PrefillRate() float64 {
	if e == nil {
		return priorPrefillRate
	}
	return e.prefillRate
}

// RunningDelay returns the delay of the first token, in milliseconds, by each running
// request.
func (e *Engine) RunningDelay() float64 {
	if e == nil {
		return priorRunningDelay
	}
	return e.runningDelay
}

// FirstDelay returns the part of the time to the first token, in milliseconds, that depends
// neither on the prompt nor on other requests.
func (e *Engine) FirstDelay() float64 {
	if e == nil {
		return 0
	}
	return e.firstDelay
}

// Time returns the time for which a request keeps an engine with the given number of slots
// busy: the prefill of its prompt tokens, and for each answer token its part of a step,
// which is shared by a full batch. MeanSpeed is that of the service's servers, as a ratio to
// the median one. The fitted prefill rate is not used, as it includes the time in which an
// engine works on other requests too.
func Time(prefillTokens, answerTokens, slots int, meanSpeed float64) spokeclock.Millis {
	batch := float64(min(max(1, slots), maxUsualBatch))
	return spokeclock.Millis((float64(prefillTokens)/priorPrefillRate + float64(answerTokens)*(stepMillis/batch+stepMillisPerRequest)) / meanSpeed)
}

const (
	// forgetting is the weight of all earlier answers after one more. The figures follow
	// those of about the last thousand.
	forgetting = 0.999
	// The weights of the assumed figures are those of priorAnswers answers whose prompts
	// and loads vary by priorTokens and priorLoad.
	priorAnswers = 50
	priorTokens  = 2000.0
	priorLoad    = 4.0
	// minAnswers is the number of answers from which the figures are used.
	minAnswers = 100
	// maxFirstRatio and maxFirstExcess bound the time to the first event that counts,
	// against what was expected: a longer one is due to a failure or a queue elsewhere.
	maxFirstRatio  = 3.0
	maxFirstExcess = 50.0
	// maxPriorRatio bounds the ratio of a fitted figure to the assumed one, and its inverse.
	maxPriorRatio = 4.0
)

// Fit fits the figures of a service's engines to the times to the first events of answers,
// by least squares with exponential forgetting. The zero value is ready for use.
type Fit struct {
	engine *Engine
	// answers is the sum of the weights. The means and the sums of products of deviations
	// from them follow.
	answers                    float64
	tokens, load, delay        float64
	tokens2, load2, tokensLoad float64
	tokensDelay, loadDelay     float64
}

// First is the time to the first event of an answer.
type First struct {
	// Delay is the time from sending the request, in milliseconds, Factor that by which its
	// server was slower than the median of its service.
	Delay, Factor float64
	// Tokens is the number of prompt tokens that the server had to process before, Load the
	// number of its other requests.
	Tokens, Load int
}

// Record adds the first event of an answer of a server that had a free slot.
func (f *Fit) Record(first First) {
	if !(first.Factor > 0) || first.Tokens <= 0 || first.Delay < 0 {
		return
	}
	tokens, load := float64(first.Tokens), float64(first.Load)
	engine := f.Engine()
	expected := tokens/engine.PrefillRate() + load*engine.RunningDelay() + engine.FirstDelay()
	delay := min(first.Delay/first.Factor, maxFirstRatio*expected+maxFirstExcess)
	f.answers = forgetting*f.answers + 1
	dTokens, dLoad, dDelay := tokens-f.tokens, load-f.load, delay-f.delay
	f.tokens += dTokens / f.answers
	f.load += dLoad / f.answers
	f.delay += dDelay / f.answers
	rest := 1 - 1/f.answers
	f.tokens2 = forgetting*f.tokens2 + rest*dTokens*dTokens
	f.load2 = forgetting*f.load2 + rest*dLoad*dLoad
	f.tokensLoad = forgetting*f.tokensLoad + rest*dTokens*dLoad
	f.tokensDelay = forgetting*f.tokensDelay + rest*dTokens*dDelay
	f.loadDelay = forgetting*f.loadDelay + rest*dLoad*dDelay
	if f.answers >= minAnswers {
		f.engine = f.solve()
	}
}

// Engine returns the fitted figures, or nil before there are enough answers.
func (f *Fit) Engine() *Engine { return f.engine }

func (f *Fit) solve() *Engine {
	const perToken = 1 / priorPrefillRate
	tokens2 := f.tokens2 + priorAnswers*priorTokens*priorTokens
	load2 := f.load2 + priorAnswers*priorLoad*priorLoad
	tokensExcess := f.tokensDelay - f.tokens2*perToken - f.tokensLoad*priorRunningDelay
	loadExcess := f.loadDelay - f.tokensLoad*perToken - f.load2*priorRunningDelay
	determinant := tokens2*load2 - f.tokensLoad*f.tokensLoad
	slope := perToken + (tokensExcess*load2-loadExcess*f.tokensLoad)/determinant
	runningDelay := priorRunningDelay + (loadExcess*tokens2-tokensExcess*f.tokensLoad)/determinant
	slope = boundedTo(slope, perToken)
	runningDelay = boundedTo(runningDelay, priorRunningDelay)
	return &Engine{prefillRate: 1 / slope, runningDelay: runningDelay, firstDelay: max(0, f.delay-slope*f.tokens-runningDelay*f.load)}
}

// boundedTo returns a figure within maxPriorRatio of the assumed one.
func boundedTo(figure, prior float64) float64 {
	if math.IsNaN(figure) {
		return prior
	}
	return min(max(figure, prior/maxPriorRatio), prior*maxPriorRatio)
}
