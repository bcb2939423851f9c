package spokeload

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	largestMillis = 600_000
	digits        = 3
	percent       = 100
)

// LatencyQuantiles are latencies in milliseconds.
type LatencyQuantiles struct {
	// P50 is the median.
	P50 int64 `json:"p50_millis"`
	// P95 is the 95th percentile.
	P95 int64 `json:"p95_millis"`
	// P99 is the 99th percentile.
	P99 int64 `json:"p99_millis"`
	// Max is the greatest.
	Max int64 `json:"max_millis"`
}

// GroupResult is the result of one kind in one phase.
type GroupResult struct {
	// Kind names the kind of request.
	Kind string `json:"kind"`
	// Phase is the phase's number, from zero.
	Phase int `json:"phase"`
	// SentRequests counts requests.
	SentRequests int `json:"sent"`
	// Verdicts counts what became of them.
	Verdicts map[Verdict]int `json:"verdicts"`
	// Details counts refusals and faults by kind.
	Details map[string]int `json:"details,omitempty"`
	// GoodAnswers counts whole answers with the first token within its target.
	GoodAnswers int `json:"good"`
	// FirstTokenLatency is the time to the first token.
	FirstTokenLatency LatencyQuantiles `json:"first_token"`
	// TotalLatency is the time to the end.
	TotalLatency LatencyQuantiles `json:"whole"`
	// TokenGap is the time between tokens.
	TokenGap LatencyQuantiles `json:"token_gap"`

	target spokeclock.Millis
	first  *hdrhistogram.Histogram
	whole  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
}

// Result is the result of an experiment.
type Result struct {
	// Plan is what was done.
	Plan Plan `json:"plan"`
	// Groups are the results by kind and phase.
	Groups []*GroupResult `json:"groups"`
}

func newResult(plan Plan) *Result {
	result := &Result{Plan: plan}
	for phase := range plan.Phases {
		for _, kind := range plan.Mix {
			result.Groups = append(result.Groups, newGroup(kind, phase))
		}
	}
	return result
}

func newGroup(kind RequestKind, phase int) *GroupResult {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, largestMillis, digits) }
	return &GroupResult{
		Kind: kind.Name, Phase: phase, Verdicts: make(map[Verdict]int), Details: make(map[string]int),
		target: kind.FirstTokenTarget, first: histogram(), whole: histogram(), gap: histogram(),
	}
}

// Group returns the results of a kind in a phase, or nil.
func (r *Result) Group(kind string, phase int) *GroupResult {
	for _, group := range r.Groups {
		if group.Kind == kind && group.Phase == phase {
			return group
		}
	}
	return nil
}

// CountVerdict returns how many requests had a verdict, over all kinds and phases.
func (r *Result) CountVerdict(verdict Verdict) int {
	count := 0
	for _, group := range r.Groups {
		count += group.Verdicts[verdict]
	}
	return count
}

// SentRequests returns the number of requests.
func (r *Result) SentRequests() int {
	count := 0
	for _, group := range r.Groups {
		count += group.SentRequests
	}
	return count
}

// FailedRequests returns how many requests were neither answered whole nor truthfully
// refused.
func (r *Result) FailedRequests() int {
	return r.CountVerdict(VerdictLost) + r.CountVerdict(VerdictTruncated) + r.CountVerdict(VerdictWrongAnswer) + r.CountVerdict(VerdictTooLong)
}

func (r *Result) add(reply *RequestResult) {
	r.Group(reply.kind, reply.phase).add(reply)
}

func (g *GroupResult) add(reply *RequestResult) {
	g.SentRequests++
	g.Verdicts[reply.verdict]++
	if reply.detail != "" {
		g.Details[reply.detail]++
	}
	if reply.verdict != VerdictComplete {
		return
	}
	if g.target == 0 || reply.first <= g.target {
		g.GoodAnswers++
	}
	record(g.first, reply.first)
	record(g.whole, reply.whole)
	for _, gap := range reply.gaps {
		record(g.gap, gap)
	}
}

func record(histogram *hdrhistogram.Histogram, value spokeclock.Millis) {
	_ = histogram.RecordValue(min(largestMillis, max(1, int64(value))))
}

func (r *Result) finish() {
	for _, group := range r.Groups {
		group.FirstTokenLatency = quantiles(group.first)
		group.TotalLatency = quantiles(group.whole)
		group.TokenGap = quantiles(group.gap)
	}
}

func quantiles(histogram *hdrhistogram.Histogram) LatencyQuantiles {
	at := func(q float64) int64 { return histogram.ValueAtQuantile(q * percent) }
	return LatencyQuantiles{P50: at(0.5), P95: at(0.95), P99: at(0.99), Max: histogram.Max()}
}
