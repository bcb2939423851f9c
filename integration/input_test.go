package integration

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sashabaranov/go-openai"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// badRequest is a request that must be refused, with the expected response.
type badRequest struct {
	Name           string `yaml:"name"`
	Path           string `yaml:"path"`
	Key            string `yaml:"key"`
	IdempotencyKey string `yaml:"idempotency_key"`
	Body           string `yaml:"body"`
	BodyBytes      int    `yaml:"body_bytes"`
	Status         int    `yaml:"status"`
	Kind           string `yaml:"kind"`
	Message        string `yaml:"message"`
}

// TestCallers checks that invalid requests are refused, and that an unmodified
// public client library gets complete answers.
func TestCallers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, deployment{DataCentres: []string{"a"}, EntryInstances: 1, Engines: 1, PlainServers: 1, Slots: 4, StepTime: 3}, nil)
	url := "http://" + c.entries[0].callerAddress
	cases := spokecase.Read[[]badRequest](t, "testdata/bad_input/requests.yaml")
	for _, request := range cases {
		t.Run(request.Name, func(t *testing.T) { request.run(t, url) })
	}
	t.Run("public client library", func(t *testing.T) { checkClientLibrary(t, url) })
}

func (b badRequest) run(t *testing.T, url string) {
	body := b.Body
	if b.BodyBytes > 0 {
		body = strings.Repeat("x", b.BodyBytes)
	}
	request, err := http.NewRequest(http.MethodPost, url+b.Path, strings.NewReader(body))
	require.NoError(t, err)
	key := b.Key
	// An empty key means the valid one, except in the case without a key.
	if key == "" && b.Name != "no key" {
		key = workspaceKey
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if b.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", b.IdempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var refusal struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	require.NoError(t, json.Unmarshal(text, &refusal), string(text))
	require.Equal(t, b.Status, response.StatusCode, string(text))
	require.Equal(t, b.Kind, refusal.Error.Type)
	require.Equal(t, "not_run", refusal.Error.Outcome)
	require.Contains(t, refusal.Error.Message, b.Message)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

func checkClientLibrary(t *testing.T, url string) {
	config := openai.DefaultConfig(workspaceKey)
	config.BaseURL = url + "/v1"
	client := openai.NewClientWithConfig(config)
	request := openai.ChatCompletionRequest{
		Model: "assistant", MaxCompletionTokens: 12,
		Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "where is the next mound"}},
	}
	prompt := spokestandin.JoinPrompt([]spokeengine.Message{{Role: "user", Content: "where is the next mound"}})
	var want strings.Builder
	for i := range 12 {
		want.WriteString(spokestandin.TokenAt(prompt, i))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	completion, err := client.CreateChatCompletion(ctx, request)
	require.NoError(t, err)
	require.Equal(t, want.String(), completion.Choices[0].Message.Content)
	require.Equal(t, openai.FinishReasonLength, completion.Choices[0].FinishReason)
	stream, err := client.CreateChatCompletionStream(ctx, request)
	require.NoError(t, err)
	defer func() { _ = stream.Close() }()
	var got strings.Builder
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		got.WriteString(chunk.Choices[0].Delta.Content)
	}
	require.Equal(t, want.String(), got.String())
	// The context has ended, so that nothing is sent to the library's default URL.
	_, err = openai.NewClientWithConfig(openai.DefaultConfig("x")).CreateChatCompletion(cancelledContext(), request)
	require.Error(t, err)
}

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestCommandLine checks that invalid flags and files are refused with an error
// that names them.
func TestCommandLine(t *testing.T) {
	t.Parallel()
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	require.NoError(t, os.WriteFile(broken, []byte("version: 1\ncolour: red\n"), 0o600))
	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"unknown flag":    {[]string{"entry", "--colour", "red"}, "unknown flag `colour'"},
		"missing flags":   {[]string{"entry"}, "--name"},
		"unknown command": {[]string{"dance"}, "Unknown command `dance'"},
		"invalid address": {[]string{
			"entry", "--name", "x", "--data-centre", "a", "--caller-address", "nowhere", "--table-url", "http://127.0.0.1:1", "--object-url", "http://127.0.0.1:1",
			"--cloud-url", "http://127.0.0.1:1", "--list-url", "http://127.0.0.1:1", "--operator-key-sha256", strings.Repeat("0", 64),
		}, `--caller-address is "nowhere"`},
		"missing file":         {[]string{"apply", "--key", "k", "no-such-file.yaml"}, "no-such-file.yaml"},
		"unreachable URL":      {[]string{"get", "--key", "k", "--url", "http://127.0.0.1:9"}, "unreachable"},
		"unknown example":      {[]string{"demo", "--example", "none"}, "Invalid value `none'"},
		"empty standard input": {[]string{"hash-key"}, "standard input is empty"},
	} {
		t.Run(name, func(t *testing.T) {
			output, err := exec.Command(filepath.Join(programFolder, "mulberryspoke"), c.args...).CombinedOutput()
			require.Error(t, err)
			require.Contains(t, string(output), c.want)
		})
	}
}
