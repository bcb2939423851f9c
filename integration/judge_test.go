package integration

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeload"
)

// judge checks what callers observed against what must always hold, and
// against the script's own expectations.
func (r *runner) judge(e expectation) {
	runs := r.runs()
	r.mutex.Lock()
	replies := r.replies
	results := r.results
	r.mutex.Unlock()
	for body, count := range runs {
		if strings.Contains(body, "booking") && count > 1 {
			r.violated("%s ran %d times", body, count)
		}
	}
	for _, reply := range replies {
		r.judgeReply(reply, runs)
	}
	for verdict, b := range e.Verdicts {
		count := 0
		for _, result := range results {
			count += result.Count(verdict)
		}
		r.within("requests "+string(verdict), float64(count), b)
	}
	for name, b := range e.Metrics {
		r.within(name, r.metric(name), b)
	}
	for kind, limit := range e.Slowest {
		for _, result := range results {
			if group := result.Group(kind, 0); group != nil && group.First.P99 > int64(limit) {
				r.violated("first token of %s: %d ms at the 99th percentile instead of %d", kind, group.First.P99, limit)
			}
		}
	}
}

// judgeReply checks one request: nothing lost, doubled, crossed or cut short,
// and a refusal that says "not run" tells the truth.
func (r *runner) judgeReply(reply *spokeload.Reply, runs map[string]int) {
	switch reply.Verdict() {
	case spokeload.VerdictLost, spokeload.VerdictCut, spokeload.VerdictCrossed, spokeload.VerdictDoubled, spokeload.VerdictIncomplete:
		r.violated("a %s was %s: %s", reply.Kind(), reply.Verdict(), reply.Detail())
	case spokeload.VerdictRefused:
		if reply.Body() != "" && reply.RequestScope() && runs[reply.Body()] > 0 {
			r.violated("%s was refused as not run and ran", reply.Body())
		}
	case spokeload.VerdictWhole, spokeload.VerdictUnknown:
	}
}

func (r *runner) within(name string, value float64, b bound) {
	if b.Min != nil && value < *b.Min {
		r.violated("%s: %v, at least %v", name, value, *b.Min)
	}
	if b.Max != nil && value > *b.Max {
		r.violated("%s: %v, at most %v", name, value, *b.Max)
	}
}

// metric sums a metric over the entry instances that answer.
func (r *runner) metric(name string) float64 {
	sum := 0.0
	for _, entry := range r.entries {
		response, err := http.Get("http://" + entry.operator + "/metrics")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		for line := range strings.Lines(string(text)) {
			fields := strings.Fields(line)
			if len(fields) == 2 && fields[0] == name {
				value, _ := strconv.ParseFloat(fields[1], 64)
				sum += value
			}
		}
	}
	return sum
}
