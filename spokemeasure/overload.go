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
	overloadTime   = 6 * spokeclock.Second
	recoveryTime   = 5 * spokeclock.Second
	overloadEngine = 2
	recoveryFactor = 0.5
)

func overloadVariants() []variant {
	return []variant{
		{name: "without admission", routing: spokeconfig.RoutingTwoChoices, switchOff: []string{"admission", "priority"}},
		{name: "score", routing: spokeconfig.RoutingScore},
	}
}

// overload sends 1.5, 2 and 4 times what the servers can do, and then half of
// it.
func overload(ctx context.Context, v variant, seed uint64) ([]sample, error) {
	var samples []sample
	for _, factor := range []float64{1, 1.5, 2, 4} {
		list, err := overloadAt(ctx, v, seed, factor)
		if err != nil {
			return nil, err
		}
		samples = append(samples, list...)
	}
	return samples, nil
}

// serverCapacity is the answers for each second that the engines can give: one
// step for the prompt, and one for each token and the end.
func serverCapacity(engines int) float64 {
	const steps = quickTokens + 2
	return float64(engines*benchSlots) / (benchStep.Seconds() * steps)
}

func overloadAt(ctx context.Context, v variant, seed uint64, factor float64) ([]sample, error) {
	b, err := startBench(ctx, v.setup(1, overloadEngine))
	if err != nil {
		return nil, err
	}
	defer b.close()
	capacity := serverCapacity(overloadEngine)
	important := quick(1)
	other := quick(1)
	other.Name = "other"
	other.WorkspaceKey = otherKey
	result, err := b.load(ctx, seed, []spokeload.RequestKind{important, other},
		spokeload.Phase{Rate: factor * capacity, Duration: overloadTime},
		spokeload.Phase{Rate: recoveryFactor * capacity, Duration: recoveryTime})
	if err != nil {
		return nil, err
	}
	first, second := result.Group("quick", 0), result.Group("other", 0)
	after := result.Group("quick", 1)
	good := float64(first.GoodAnswers+second.GoodAnswers) / (float64(overloadTime) / float64(spokeclock.Second))
	name := func(what string) string { return fmt.Sprintf("%s at %.1f times", what, factor) }
	return []sample{
		{name("goodput over capacity"), good / capacity},
		{name("good answers of priority 5 over those of priority 1"), ratio(float64(first.GoodAnswers), float64(second.GoodAnswers))},
		{name("first token p99, ms"), float64(first.FirstTokenLatency.P99)},
		{name("part refused"), ratio(float64(first.Verdicts[spokeload.VerdictRefused]+second.Verdicts[spokeload.VerdictRefused]), float64(first.SentRequests+second.SentRequests))},
		{name("part good in the five seconds after"), ratio(float64(after.GoodAnswers), float64(after.SentRequests))},
	}, nil
}

func reclaimVariants() []variant {
	return []variant{
		{name: "without resume, callers ask again", routing: spokeconfig.RoutingScore, switchOff: []string{"resume", "move"}},
		{name: "without moving", routing: spokeconfig.RoutingScore, switchOff: []string{"move"}},
		{name: "without the KV cache", routing: spokeconfig.RoutingScore, switchOff: []string{"cache_move"}},
		{name: "score", routing: spokeconfig.RoutingScore},
	}
}

// recomputed reclaims a data centre's worth with notice under plans.
func recomputed(ctx context.Context, v variant, seed uint64) ([]sample, error) {
	b, err := startBench(ctx, v.setup(2, 3))
	if err != nil {
		return nil, err
	}
	defer b.close()
	const rate, notice = 4, 1500
	go func() {
		_ = spokeclock.Sleep(ctx, steadyTime/2)
		b.local.Cloud().Control(spokestandin.CloudControlRequest{Reclaim: &spokestandin.ReclaimRequest{DataCentre: "place-1", NoticeTime: notice}})
	}()
	result, err := b.load(ctx, seed, []spokeload.RequestKind{plan(1)}, spokeload.Phase{Rate: rate, Duration: steadyTime})
	if err != nil {
		return nil, err
	}
	broken := float64(result.SentRequests() - result.CountVerdict(spokeload.VerdictComplete))
	again := b.metric(ctx, "spoke_recomputed_tokens_total")
	return []sample{
		{"recomputed tokens", again + broken*(planTokens/2+planWords)},
		{"answers moved or resumed", b.metric(ctx, "spoke_resumed_answers_total")},
		{"answers that broke off", broken},
		{"plan whole p99, ms", float64(result.Group("plan", 0).TotalLatency.P99)},
	}, nil
}

// planWords is the length of a plan's prompt. An answer that breaks off is
// taken to cost its prompt and half of its tokens when the caller asks again.
const planWords = 200
