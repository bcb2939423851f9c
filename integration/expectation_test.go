package integration

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeload"
)

// checkExpectations checks the responses that callers got against the properties
// that hold in every script and against the script's own expectations.
func (r *runner) checkExpectations(e expectation) {
	runs := r.bookingRuns()
	r.mutex.Lock()
	replies := r.replies
	results := r.loadResults
	r.mutex.Unlock()
	for body, count := range runs {
		if strings.Contains(body, "booking") && count > 1 {
			r.addViolation("%s ran %d times, want at most once", body, count)
		}
	}
	for _, reply := range replies {
		r.checkReply(reply, runs)
	}
	for verdict, b := range e.Verdicts {
		count := 0
		for _, result := range results {
			count += result.CountVerdict(verdict)
		}
		r.checkBound("requests "+string(verdict), float64(count), b)
	}
	for name, b := range e.Metrics {
		r.checkBound(name, r.sumMetric(name), b)
	}
	for kind, limit := range e.FirstTokenP99 {
		for _, result := range results {
			if group := result.Group(kind, 0); group != nil && group.FirstTokenLatency.P99 > int64(limit) {
				r.addViolation("the 99th percentile of the time to the first token of %s is %d ms, want at most %d", kind, group.FirstTokenLatency.P99, limit)
			}
		}
	}
}

// checkReply checks one response: the answer is not lost, truncated, too long,
// incomplete or that of another request, and a booking that was refused as not
// run did not run.
func (r *runner) checkReply(reply *spokeload.RequestResult, runs map[string]int) {
	switch reply.Verdict() {
	case spokeload.VerdictLost, spokeload.VerdictTruncated, spokeload.VerdictWrongAnswer, spokeload.VerdictTooLong, spokeload.VerdictIncomplete:
		r.addViolation("the answer to a %s was %s: %s", reply.Kind(), reply.Verdict(), reply.Detail())
	case spokeload.VerdictRefused:
		if reply.BookingBody() != "" && reply.IsRequestScoped() && runs[reply.BookingBody()] > 0 {
			r.addViolation("%s was refused as not run but ran", reply.BookingBody())
		}
	case spokeload.VerdictComplete, spokeload.VerdictOutcomeUnknown:
	}
}

func (r *runner) checkBound(name string, value float64, b bound) {
	if b.Min != nil && value < *b.Min {
		r.addViolation("%s is %v, want at least %v", name, value, *b.Min)
	}
	if b.Max != nil && value > *b.Max {
		r.addViolation("%s is %v, want at most %v", name, value, *b.Max)
	}
}

// sumMetric returns the sum of a metric over the entry instances that respond.
// The name includes the labels as /metrics writes them.
func (r *runner) sumMetric(name string) float64 {
	sum := 0.0
	for _, entry := range r.entries {
		response, err := http.Get("http://" + entry.operatorAddress + "/metrics")
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
