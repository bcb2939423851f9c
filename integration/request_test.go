package integration

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

func isSoakRun() bool {
	return os.Getenv("MULBERRYSPOKE_SOAK") != ""
}

// bookingResult is the result of a request to the booking service: the outcome,
// kind and message of a refusal, the answer, or the outcome "none" with an error.
type bookingResult struct {
	outcome    string
	kind       string
	retryAfter string
	message    string
}

// runRequest sends a request to the booking service and checks the response.
func (r *runner) runRequest(label string, s *requestStep) {
	if s.Background != "" {
		foreground := *s
		foreground.Background = ""
		r.idempotencyKey(s.Key)
		r.runInBackground(s.Background, func() { r.runRequest(label, &foreground) })
		return
	}
	started := time.Now()
	got := r.sendBooking(s)
	for s.RetryFor > 0 && !matchesAny(s.Outcome, got.outcome) && time.Since(started) < s.RetryFor.Duration() {
		time.Sleep(100 * time.Millisecond)
		got = r.sendBooking(s)
	}
	if !matchesAny(s.Outcome, got.outcome) || (s.Kind != "" && !matchesAny(s.Kind, got.kind)) {
		r.addViolation("%s: the outcome is %s %s (%s), want %s %s", label, got.outcome, got.kind, got.message, s.Outcome, s.Kind)
	}
	if s.MaxDuration > 0 && time.Since(started) > s.MaxDuration.Duration() {
		r.addViolation("%s: the response took %s, which is too long", label, time.Since(started))
	}
	if got.outcome != "answered" && got.outcome != "none" && got.retryAfter == "" {
		r.addViolation("%s: the refusal has no Retry-After header", label)
	}
}

// matchesAny reports whether got is one of the alternatives, which are separated
// by |. An empty list matches everything.
func matchesAny(alternatives, got string) bool {
	return alternatives == "" || slices.Contains(strings.Split(alternatives, "|"), got)
}

// idempotencyKey returns the idempotency key of a name and generates it at first
// use.
func (r *runner) idempotencyKey(name string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.idempotencyKeys[name] == "" {
		key, err := uuid.NewV7()
		require.NoError(r.t, err)
		r.idempotencyKeys[name] = key.String()
	}
	return r.idempotencyKeys[name]
}

func (r *runner) sendBooking(s *requestStep) bookingResult {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	path := s.Path
	if path == "" {
		path = "/payments"
	}
	url := "http://" + r.entry(s.Entry).callerAddress + "/v1/services/booking" + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(s.Body))
	require.NoError(r.t, err)
	request.Header.Set("Authorization", "Bearer "+workspaceKey)
	request.Header.Set("Idempotency-Key", r.idempotencyKey(s.Key))
	response, err := r.client.Do(request)
	if err != nil {
		return bookingResult{outcome: "none", message: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return bookingResult{outcome: "none", message: err.Error()}
	}
	if response.StatusCode == http.StatusOK {
		return bookingResult{outcome: "answered", message: string(text)}
	}
	var refusal struct {
		Error struct {
			Type    string `json:"type"`
			Outcome string `json:"outcome"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &refusal) != nil {
		return bookingResult{outcome: "none", message: string(text)}
	}
	return bookingResult{
		outcome: refusal.Error.Outcome, kind: refusal.Error.Type, message: refusal.Error.Message,
		retryAfter: response.Header.Get("Retry-After"),
	}
}
