package spokestandin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

const (
	stepTime = 4 * time.Millisecond
	tokens   = 100
)

// TestEngineKeepsPace guards against a stand-in that slows down when its process waits
// for the processor, so that an entry instance rightly takes the engine for slow.
func TestEngineKeepsPace(t *testing.T) {
	// The prompt takes a step more.
	const usual = (tokens + 1) * stepTime
	for name, c := range map[string]struct {
		late, least, most time.Duration
	}{
		"on time":                           {least: usual, most: usual + stepTime},
		"three steps in a row are late":     {late: 50 * time.Millisecond, least: usual, most: usual + stepTime},
		"a suspended engine loses its time": {late: time.Second, least: 2 * time.Second, most: 3*time.Second + usual},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				took := timeAnswer(t, c.late)
				require.LessOrEqual(t, took, c.most)
				require.GreaterOrEqual(t, took, c.least)
			})
		})
	}
}

// timeAnswer returns how long an engine takes for an answer if three of its steps are
// late.
func timeAnswer(t *testing.T, late time.Duration) time.Duration {
	sleeps := 0
	engine := &spokestandin.Engine{StepTime: stepTime, SleepFunc: func(pause time.Duration) {
		if sleeps++; sleeps > 20 && sleeps <= 23 {
			pause = max(0, pause) + late
		}
		time.Sleep(pause)
	}}
	handler := engine.Handler()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { engine.Run(ctx) })
	defer running.Wait()
	defer cancel()
	body, err := json.Marshal(spokeengine.GenerateRequest{AttemptID: "a", MaxTokens: tokens, Messages: []spokeengine.Message{{Role: "user", Content: "x"}}})
	require.NoError(t, err)
	startedAt := time.Now()
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/generate", strings.NewReader(string(body))))
	require.Equal(t, tokens+1, strings.Count(response.Body.String(), "data:"))
	return time.Since(startedAt)
}
