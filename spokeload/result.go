package spokeload

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	maxRecordedMillis = 600_000
	significantDigits = 3
	percent           = 100
)

// LatencyQuantiles are quantiles of a latency in milliseconds.
type LatencyQuantiles struct {
	// P50 is the median.
	P50 int64 `json:"p50_millis"`
	// P95 is the 95th percentile.
	P95 int64 `json:"p95_millis"`
	// P99 is the 99th percentile.
	P99 int64 `json:"p99_millis"`
	// Max is the largest value.
	Max int64 `json:"max_millis"`
}

// GroupResult holds the results of one kind of request in one phase.
type GroupResult struct {
	// Kind is the name of the kind of request.
	Kind string `json:"kind"`
	// Phase is the index of the phase, from zero.
	Phase int `json:"phase"`
	// SentRequests is the number of requests, each with its retries.
	SentRequests int `json:"sent"`
	// Verdicts is the number of requests by verdict.
	Verdicts map[Verdict]int `json:"verdicts"`
	// Details is the number of requests by error type or fault description.
	Details map[string]int `json:"details,omitempty"`
	// GoodAnswers is the number of complete answers whose first token came within
	// the target.
	GoodAnswers int `json:"good"`
	// FirstTokenLatency is the time from the intended start to the first token of
	// complete answers.
	FirstTokenLatency LatencyQuantiles `json:"first_token"`
	// TotalLatency is the time from the intended start to the end of complete
	// answers.
	TotalLatency LatencyQuantiles `json:"whole"`
	// TokenGap is the time between two tokens of complete streamed answers.
	TokenGap LatencyQuantiles `json:"token_gap"`

	firstTokenTarget    spokeclock.Millis
	firstTokenHistogram *hdrhistogram.Histogram
	totalHistogram      *hdrhistogram.Histogram
	tokenGapHistogram   *hdrhistogram.Histogram
}

// Result holds the results of a run.
type Result struct {
	// Plan is the plan of the run.
	Plan Plan `json:"plan"`
	// Groups are the results by kind and phase.
	Groups []*GroupResult `json:"groups"`
}

func newResult(plan Plan) *Result {
	result := &Result{Plan: plan}
	for phase := range plan.Phases {
		for _, kind := range plan.Mix {
			result.Groups = append(result.Groups, newGroupResult(kind, phase))
		}
	}
	return result
}

func newGroupResult(kind RequestKind, phase int) *GroupResult {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedMillis, significantDigits) }
	return &GroupResult{
		Kind: kind.Name, Phase: phase, Verdicts: make(map[Verdict]int), Details: make(map[string]int),
		firstTokenTarget: kind.FirstTokenTarget, firstTokenHistogram: newHistogram(), totalHistogram: newHistogram(), tokenGapHistogram: newHistogram(),
	}
}

// Group returns the results of a kind in a phase, or nil if the plan doesn't
// contain them.
func (r *Result) Group(kind string, phase int) *GroupResult {
	for _, group := range r.Groups {
		if group.Kind == kind && group.Phase == phase {
			return group
		}
	}
	return nil
}

// CountVerdict returns the number of requests with a verdict, over all kinds and
// phases.
func (r *Result) CountVerdict(verdict Verdict) int {
	count := 0
	for _, group := range r.Groups {
		count += group.Verdicts[verdict]
	}
	return count
}

// SentRequests returns the number of requests, each with its retries.
func (r *Result) SentRequests() int {
	count := 0
	for _, group := range r.Groups {
		count += group.SentRequests
	}
	return count
}

// FailedRequests returns the number of requests without a valid response or with
// a wrong answer. Refusals and answers with a reported error don't count.
func (r *Result) FailedRequests() int {
	return r.CountVerdict(VerdictLost) + r.CountVerdict(VerdictTruncated) + r.CountVerdict(VerdictWrongAnswer) + r.CountVerdict(VerdictTooLong)
}

func (r *Result) addRequest(request *RequestResult) {
	r.Group(request.kind, request.phase).addRequest(request)
}

func (g *GroupResult) addRequest(request *RequestResult) {
	g.SentRequests++
	g.Verdicts[request.verdict]++
	if request.detail != "" {
		g.Details[request.detail]++
	}
	if request.verdict != VerdictComplete {
		return
	}
	if g.firstTokenTarget == 0 || request.firstTokenLatency <= g.firstTokenTarget {
		g.GoodAnswers++
	}
	recordLatency(g.firstTokenHistogram, request.firstTokenLatency)
	recordLatency(g.totalHistogram, request.totalLatency)
	for _, gap := range request.tokenGaps {
		recordLatency(g.tokenGapHistogram, gap)
	}
}

// recordLatency records a latency, limited to the range of the histogram.
func recordLatency(histogram *hdrhistogram.Histogram, latency spokeclock.Millis) {
	_ = histogram.RecordValue(min(maxRecordedMillis, max(1, int64(latency))))
}

func (r *Result) computeQuantiles() {
	for _, group := range r.Groups {
		group.FirstTokenLatency = quantilesOf(group.firstTokenHistogram)
		group.TotalLatency = quantilesOf(group.totalHistogram)
		group.TokenGap = quantilesOf(group.tokenGapHistogram)
	}
}

func quantilesOf(histogram *hdrhistogram.Histogram) LatencyQuantiles {
	valueAt := func(quantile float64) int64 { return histogram.ValueAtQuantile(quantile * percent) }
	return LatencyQuantiles{P50: valueAt(0.5), P95: valueAt(0.95), P99: valueAt(0.99), Max: histogram.Max()}
}
