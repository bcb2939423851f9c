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

func soaking() bool {
	return os.Getenv("MULBERRYSPOKE_SOAK") != ""
}

// answer is what came of a request sent by hand.
type answer struct {
	outcome    string
	kind       string
	retryAfter string
	text       string
}

// request sends a booking and checks what comes back.
func (r *runner) request(where string, s *requestStep) {
	if s.Background != "" {
		foreground := *s
		foreground.Background = ""
		r.key(s.Key)
		r.inBackground(s.Background, func() { r.request(where, &foreground) })
		return
	}
	started := time.Now()
	got := r.book(s)
	for s.Until > 0 && !matches(s.Outcome, got.outcome) && time.Since(started) < s.Until.Duration() {
		time.Sleep(100 * time.Millisecond)
		got = r.book(s)
	}
	if !matches(s.Outcome, got.outcome) || (s.Kind != "" && !matches(s.Kind, got.kind)) {
		r.violated("%s: the outcome is %s %s (%s) instead of %s %s", where, got.outcome, got.kind, got.text, s.Outcome, s.Kind)
	}
	if s.Within > 0 && time.Since(started) > s.Within.Duration() {
		r.violated("%s: the answer took %s", where, time.Since(started))
	}
	if got.outcome != "answered" && got.outcome != "none" && got.retryAfter == "" {
		r.violated("%s: a refusal without Retry-After", where)
	}
}

func matches(wanted, got string) bool {
	return wanted == "" || slices.Contains(strings.Split(wanted, "|"), got)
}

// key returns the idempotency key of a name.
func (r *runner) key(name string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.keys[name] == "" {
		key, err := uuid.NewV7()
		require.NoError(r.t, err)
		r.keys[name] = key.String()
	}
	return r.keys[name]
}

func (r *runner) book(s *requestStep) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	path := s.Path
	if path == "" {
		path = "/payments"
	}
	url := "http://" + r.entry(s.Entry).callers + "/v1/services/booking" + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(s.Body))
	require.NoError(r.t, err)
	request.Header.Set("Authorization", "Bearer "+workspaceKey)
	request.Header.Set("Idempotency-Key", r.key(s.Key))
	response, err := r.client.Do(request)
	if err != nil {
		return answer{outcome: "none", text: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{outcome: "none", text: err.Error()}
	}
	if response.StatusCode == http.StatusOK {
		return answer{outcome: "answered", text: string(text)}
	}
	var refusal struct {
		Error struct {
			Type    string `json:"type"`
			Outcome string `json:"outcome"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &refusal) != nil {
		return answer{outcome: "none", text: string(text)}
	}
	return answer{
		outcome: refusal.Error.Outcome, kind: refusal.Error.Type, text: refusal.Error.Message,
		retryAfter: response.Header.Get("Retry-After"),
	}
}
