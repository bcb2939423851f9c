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

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	// P50 is the median.
	P50 int64 `json:"p50_millis"`
	// P95 is the 95th percentile.
	P95 int64 `json:"p95_millis"`
	// P99 is the 99th percentile.
	P99 int64 `json:"p99_millis"`
	// Max is the greatest.
	Max int64 `json:"max_millis"`
}

// Group is the result of one kind in one phase.
type Group struct {
	// Kind names the kind of request.
	Kind string `json:"kind"`
	// Phase is the phase's number, from zero.
	Phase int `json:"phase"`
	// Sent counts requests.
	Sent int `json:"sent"`
	// Verdicts counts what became of them.
	Verdicts map[Verdict]int `json:"verdicts"`
	// Details counts refusals and faults by kind.
	Details map[string]int `json:"details,omitempty"`
	// Good counts whole answers with the first token within its target.
	Good int `json:"good"`
	// First is the time to the first token.
	First Quantiles `json:"first_token"`
	// Whole is the time to the end.
	Whole Quantiles `json:"whole"`
	// Gap is the time between tokens.
	Gap Quantiles `json:"token_gap"`

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
	Groups []*Group `json:"groups"`
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

func newGroup(kind Kind, phase int) *Group {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, largestMillis, digits) }
	return &Group{
		Kind: kind.Name, Phase: phase, Verdicts: make(map[Verdict]int), Details: make(map[string]int),
		target: kind.FirstToken, first: histogram(), whole: histogram(), gap: histogram(),
	}
}

// Group returns the results of a kind in a phase, or nil.
func (r *Result) Group(kind string, phase int) *Group {
	for _, group := range r.Groups {
		if group.Kind == kind && group.Phase == phase {
			return group
		}
	}
	return nil
}

// Count returns how many requests had a verdict, over all kinds and phases.
func (r *Result) Count(verdict Verdict) int {
	count := 0
	for _, group := range r.Groups {
		count += group.Verdicts[verdict]
	}
	return count
}

// Sent returns the number of requests.
func (r *Result) Sent() int {
	count := 0
	for _, group := range r.Groups {
		count += group.Sent
	}
	return count
}

// Broken returns how many requests were neither answered whole nor truthfully
// refused.
func (r *Result) Broken() int {
	return r.Count(VerdictLost) + r.Count(VerdictCut) + r.Count(VerdictCrossed) + r.Count(VerdictDoubled)
}

func (r *Result) add(reply *Reply) {
	r.Group(reply.kind, reply.phase).add(reply)
}

func (g *Group) add(reply *Reply) {
	g.Sent++
	g.Verdicts[reply.verdict]++
	if reply.detail != "" {
		g.Details[reply.detail]++
	}
	if reply.verdict != VerdictWhole {
		return
	}
	if g.target == 0 || reply.first <= g.target {
		g.Good++
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
		group.First = quantiles(group.first)
		group.Whole = quantiles(group.whole)
		group.Gap = quantiles(group.gap)
	}
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) int64 { return histogram.ValueAtQuantile(q * percent) }
	return Quantiles{P50: at(0.5), P95: at(0.95), P99: at(0.99), Max: histogram.Max()}
}
