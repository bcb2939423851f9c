package integration

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeload"
	"mulberryspoke.example/mulberryspoke/spokemeasure"
)

// TestCapacity measures the processor time and memory that one entry instance
// needs to serve requests, from the metrics of its process. It runs when
// MULBERRYSPOKE_MEASURE is set.
func TestCapacity(t *testing.T) {
	if os.Getenv("MULBERRYSPOKE_MEASURE") == "" {
		t.Skip("MULBERRYSPOKE_MEASURE is not set")
	}
	spec := deployment{DataCentres: []string{"a"}, EntryInstances: 1, Engines: 6, PlainServers: 2, Slots: 64, StepTime: 15, ReportsOutcomes: true}
	c := startCluster(t, spec, nil)
	r := &runner{cluster: c}
	time.Sleep(2 * time.Second)
	idle := c.measureCore(r, 5*time.Second)
	t.Logf("idle: %.4f of a core", idle)
	var tokens, memory []spokemeasure.Point
	for _, rate := range []float64{10, 20, 40} {
		core, streams, resident := c.measureAtRate(t, r, spokeload.RequestKind{
			Name: "question", Shape: spokeload.ShapeChat, Service: "assistant", WorkspaceKey: workspaceKey, Weight: 1, PromptWords: 50, AnswerTokens: 100, Stream: true,
		}, rate)
		t.Logf("%v requests/s of 100 tokens: %.4f of a core, %v streams, %.1f MB", rate, core, streams, resident)
		tokens = append(tokens, spokemeasure.Point{Size: rate * 100, Value: core})
		memory = append(memory, spokemeasure.Point{Size: streams, Value: resident})
	}
	t.Logf("core against tokens/s: %s", formatFit(spokemeasure.FitLine(tokens)))
	t.Logf("megabytes against streams: %s", formatFit(spokemeasure.FitLine(memory)))
	var oneToken []spokemeasure.Point
	for _, rate := range []float64{20, 50, 100} {
		core, _, _ := c.measureAtRate(t, r, spokeload.RequestKind{
			Name: "tag", Shape: spokeload.ShapeChat, Service: "assistant", WorkspaceKey: workspaceKey, Weight: 1, PromptWords: 50, AnswerTokens: 1,
		}, rate)
		t.Logf("%v requests/s of 1 token: %.4f of a core", rate, core)
		oneToken = append(oneToken, spokemeasure.Point{Size: rate, Value: core})
	}
	t.Logf("core against requests/s of one token: %s", formatFit(spokemeasure.FitLine(oneToken)))
	var bookings []spokemeasure.Point
	for _, rate := range []float64{5, 10, 20} {
		core, _, _ := c.measureAtRate(t, r, spokeload.RequestKind{
			Name: "booking", Shape: spokeload.ShapeBooking, Service: "booking", Path: "/payments", WorkspaceKey: workspaceKey, Weight: 1, PromptWords: 5,
		}, rate)
		t.Logf("%v bookings/s: %.4f of a core", rate, core)
		bookings = append(bookings, spokemeasure.Point{Size: rate, Value: core})
	}
	t.Logf("core against bookings/s: %s", formatFit(spokemeasure.FitLine(bookings)))
}

func formatFit(fit spokemeasure.LinearFit) string {
	return fmt.Sprintf("slope %.3g, base %.3g, residual %.3f", fit.Slope, fit.Intercept, fit.MaxRelativeResidual)
}

// measureCore returns the processor use of the entry instances over a duration,
// in cores.
func (c *cluster) measureCore(r *runner, duration time.Duration) float64 {
	before := r.sumMetric("process_cpu_seconds_total")
	started := time.Now()
	time.Sleep(duration)
	return (r.sumMetric("process_cpu_seconds_total") - before) / time.Since(started).Seconds()
}

// measureAtRate returns the processor use in cores, the number of requests in
// flight and the resident memory in megabytes of the entry instance in the middle
// of a load.
func (c *cluster) measureAtRate(t *testing.T, r *runner, kind spokeload.RequestKind, rate float64) (core, streams, resident float64) {
	t.Helper()
	plan := spokeload.Plan{
		Seed: 1, Targets: []string{"http://" + c.entries[0].callerAddress}, Mix: []spokeload.RequestKind{kind},
		Phases: []spokeload.Phase{{Rate: rate, Duration: 9 * spokeclock.Second}},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		result, err := spokeload.Run(context.Background(), plan, nil)
		if err != nil || result.CountVerdict(spokeload.VerdictComplete) != result.SentRequests() {
			t.Errorf("not all answers are complete: %v", err)
		}
	}()
	time.Sleep(3 * time.Second)
	core = c.measureCore(r, 5*time.Second)
	streams = r.sumMetric("spoke_active_requests")
	resident = r.sumMetric("process_resident_memory_bytes") / 1e6
	<-done
	require.NotZero(t, core)
	return core, streams, resident
}
