package spokemeasure

import (
	"context"
	"fmt"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeload"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

const (
	overloadDuration = 6 * spokeclock.Second
	recoveryDuration = 5 * spokeclock.Second
	overloadEngines  = 2
	// recoveryLoad is the load after the overload, relative to the capacity.
	recoveryLoad = 0.5
)

func overloadVariants() []variant {
	return []variant{
		{name: "without admission", routing: spokeconfig.RoutingTwoChoices, disabledMechanisms: []string{"admission", "priority"}},
		{name: "score", routing: spokeconfig.RoutingScore},
	}
}

// runOverload sends 1, 1.5, 2 and 4 times the capacity of the servers, each time
// to a new deployment and followed by half the capacity.
func runOverload(ctx context.Context, v variant, seed uint64) ([]sample, error) {
	var allSamples []sample
	for _, loadFactor := range []float64{1, 1.5, 2, 4} {
		samples, err := measureOverload(ctx, v, seed, loadFactor)
		if err != nil {
			return nil, err
		}
		allSamples = append(allSamples, samples...)
	}
	return allSamples, nil
}

// maxAnswersPerSecond returns the number of short answers per second that the
// engines can generate. Each takes one step for the prompt, one for each token
// and one for the end.
func maxAnswersPerSecond(engines int) float64 {
	const stepsPerAnswer = quickAnswerTokens + 2
	return float64(engines*slotsPerEngine) / (engineStepTime.Seconds() * stepsPerAnswer)
}

// measureOverload sends requests of two priorities at the same rate, together
// loadFactor times the capacity.
func measureOverload(ctx context.Context, v variant, seed uint64, loadFactor float64) ([]sample, error) {
	b, err := startTestbed(ctx, v.setup(1, overloadEngines))
	if err != nil {
		return nil, err
	}
	defer b.close()
	capacity := maxAnswersPerSecond(overloadEngines)
	highPriorityKind := quickKind(1)
	lowPriorityKind := quickKind(1)
	lowPriorityKind.Name = "other"
	lowPriorityKind.WorkspaceKey = otherKey
	result, err := b.runLoad(ctx, seed, []spokeload.RequestKind{highPriorityKind, lowPriorityKind},
		spokeload.Phase{Rate: loadFactor * capacity, Duration: overloadDuration},
		spokeload.Phase{Rate: recoveryLoad * capacity, Duration: recoveryDuration})
	if err != nil {
		return nil, err
	}
	highPriority, lowPriority := result.Group("quick", 0), result.Group("other", 0)
	recovery := result.Group("quick", 1)
	goodput := float64(highPriority.GoodAnswers+lowPriority.GoodAnswers) / (float64(overloadDuration) / float64(spokeclock.Second))
	figureName := func(quantity string) string { return fmt.Sprintf("%s at %.1f times", quantity, loadFactor) }
	return []sample{
		{figureName("goodput over capacity"), goodput / capacity},
		{figureName("good answers of priority 5 over those of priority 1"), ratio(float64(highPriority.GoodAnswers), float64(lowPriority.GoodAnswers))},
		{figureName("first token p99, ms"), float64(highPriority.FirstTokenLatency.P99)},
		{figureName("part refused"), ratio(float64(highPriority.Verdicts[spokeload.VerdictRefused]+lowPriority.Verdicts[spokeload.VerdictRefused]), float64(highPriority.SentRequests+lowPriority.SentRequests))},
		{figureName("part good in the five seconds after"), ratio(float64(recovery.GoodAnswers), float64(recovery.SentRequests))},
	}, nil
}

func reclaimVariants() []variant {
	return []variant{
		{name: "without resume, callers ask again", routing: spokeconfig.RoutingScore, disabledMechanisms: []string{"resume", "move"}},
		{name: "without moving", routing: spokeconfig.RoutingScore, disabledMechanisms: []string{"move"}},
		{name: "without the KV cache", routing: spokeconfig.RoutingScore, disabledMechanisms: []string{"cache_move"}},
		{name: "score", routing: spokeconfig.RoutingScore},
	}
}

// runRecomputedTokens reclaims all instances of one of two data centres, with
// notice, while long answers are in flight, and counts the tokens that have to
// be computed again.
func runRecomputedTokens(ctx context.Context, v variant, seed uint64) ([]sample, error) {
	b, err := startTestbed(ctx, v.setup(2, 3))
	if err != nil {
		return nil, err
	}
	defer b.close()
	const requestsPerSecond, noticeMillis = 4, 1500
	go func() {
		_ = spokeclock.Sleep(ctx, loadDuration/2)
		b.deployment.Cloud().Control(spokestandin.CloudControlRequest{Reclaim: &spokestandin.ReclaimRequest{DataCentre: "place-1", NoticeTime: noticeMillis}})
	}()
	result, err := b.runLoad(ctx, seed, []spokeload.RequestKind{planKind(1)}, spokeload.Phase{Rate: requestsPerSecond, Duration: loadDuration})
	if err != nil {
		return nil, err
	}
	incompleteAnswers := float64(result.SentRequests() - result.CountVerdict(spokeload.VerdictComplete))
	recomputedTokens := b.sumMetric(ctx, "spoke_recomputed_tokens_total")
	return []sample{
		{"recomputed tokens", recomputedTokens + incompleteAnswers*(planAnswerTokens/2+planPromptWords)},
		{"answers moved or resumed", b.sumMetric(ctx, "spoke_resumed_answers_total")},
		{"answers that broke off", incompleteAnswers},
		{"plan whole p99, ms", float64(result.Group("plan", 0).TotalLatency.P99)},
	}, nil
}

// planPromptWords is the length of a plan's prompt. An incomplete answer is
// assumed to cost its prompt and half of its tokens once more, when the caller
// sends the request again.
const planPromptWords = 200
