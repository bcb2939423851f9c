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

// TestCapacity measures what serving costs one entry instance, as a real
// process, by its own count of processor time. It runs when
// MULBERRYSPOKE_MEASURE is set.
func TestCapacity(t *testing.T) {
	if os.Getenv("MULBERRYSPOKE_MEASURE") == "" {
		t.Skip("MULBERRYSPOKE_MEASURE is not set")
	}
	shape := deployment{DataCentres: []string{"a"}, Entries: 1, Engines: 6, Plains: 2, Slots: 64, Step: 15, ReportsOutcomes: true}
	c := startCluster(t, shape, nil)
	r := &runner{cluster: c}
	time.Sleep(2 * time.Second)
	idle := c.core(r, 5*time.Second)
	t.Logf("idle: %.4f of a core", idle)
	var tokens, memory []spokemeasure.Point
	for _, rate := range []float64{10, 20, 40} {
		core, streams, resident := c.serveAt(t, r, spokeload.Kind{
			Name: "question", Shape: spokeload.ShapeChat, Service: "assistant", Key: workspaceKey, Weight: 1, PromptWords: 50, Tokens: 100, Stream: true,
		}, rate)
		t.Logf("%v requests/s of 100 tokens: %.4f of a core, %v streams, %.1f MB", rate, core, streams, resident)
		tokens = append(tokens, spokemeasure.Point{Size: rate * 100, Value: core})
		memory = append(memory, spokemeasure.Point{Size: streams, Value: resident})
	}
	t.Logf("core against tokens/s: %s", show(spokemeasure.FitLine(tokens)))
	t.Logf("megabytes against streams: %s", show(spokemeasure.FitLine(memory)))
	var short []spokemeasure.Point
	for _, rate := range []float64{20, 50, 100} {
		core, _, _ := c.serveAt(t, r, spokeload.Kind{
			Name: "tag", Shape: spokeload.ShapeChat, Service: "assistant", Key: workspaceKey, Weight: 1, PromptWords: 50, Tokens: 1,
		}, rate)
		t.Logf("%v requests/s of 1 token: %.4f of a core", rate, core)
		short = append(short, spokemeasure.Point{Size: rate, Value: core})
	}
	t.Logf("core against requests/s of one token: %s", show(spokemeasure.FitLine(short)))
	var bookings []spokemeasure.Point
	for _, rate := range []float64{5, 10, 20} {
		core, _, _ := c.serveAt(t, r, spokeload.Kind{
			Name: "booking", Shape: spokeload.ShapeBooking, Service: "booking", Path: "/payments", Key: workspaceKey, Weight: 1, PromptWords: 5,
		}, rate)
		t.Logf("%v bookings/s: %.4f of a core", rate, core)
		bookings = append(bookings, spokemeasure.Point{Size: rate, Value: core})
	}
	t.Logf("core against bookings/s: %s", show(spokemeasure.FitLine(bookings)))
}

func show(fit spokemeasure.Fit) string {
	return fmt.Sprintf("slope %.3g, base %.3g, residual %.3f", fit.Slope, fit.Base, fit.Residual)
}

// core returns the part of a core that the first entry instance uses.
func (c *cluster) core(r *runner, span time.Duration) float64 {
	before := r.metric("process_cpu_seconds_total")
	started := time.Now()
	time.Sleep(span)
	return (r.metric("process_cpu_seconds_total") - before) / time.Since(started).Seconds()
}

// serveAt returns the core, the streams under way and the resident megabytes
// of the entry instance in the middle of a load.
func (c *cluster) serveAt(t *testing.T, r *runner, kind spokeload.Kind, rate float64) (core, streams, resident float64) {
	t.Helper()
	plan := spokeload.Plan{
		Seed: 1, Targets: []string{"http://" + c.entries[0].callers}, Mix: []spokeload.Kind{kind},
		Phases: []spokeload.Phase{{Rate: rate, Length: 9 * spokeclock.Second}},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		result, err := spokeload.Run(context.Background(), plan, nil)
		if err != nil || result.Count(spokeload.VerdictWhole) != result.Sent() {
			t.Errorf("not all answers are whole: %v", err)
		}
	}()
	time.Sleep(3 * time.Second)
	core = c.core(r, 5*time.Second)
	streams = r.metric("spoke_active_requests")
	resident = r.metric("process_resident_memory_bytes") / 1e6
	<-done
	require.NotZero(t, core)
	return core, streams, resident
}
