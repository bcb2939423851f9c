package spokeload_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeload"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// longPromptWords makes a request longer than what the sockets of a connection hold.
const longPromptWords = 2_000_000

type brokenAnswerCase struct {
	Name    string                 `yaml:"name"`
	Shape   spokeload.RequestShape `yaml:"shape"`
	IsEarly bool                   `yaml:"is_early"`
	Server  spokestandin.RawServer `yaml:"server"`
}

// TestBrokenAnswers guards against a request that the load tool counts as answered or refused
// although its answer has a status that no answer has, or was broken off by a reset while the
// request was still being written.
func TestBrokenAnswers(t *testing.T) {
	for _, c := range spokecase.Read[[]*brokenAnswerCase](t, "testdata/broken_answers.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c *brokenAnswerCase) run(t *testing.T) {
	kind := spokeload.RequestKind{Name: "k", Shape: c.Shape, Service: "s", Path: "/book", WorkspaceKey: "key", Weight: 1, PromptWords: 1, AnswerTokens: 1}
	if c.IsEarly {
		kind.PromptWords = longPromptWords
	}
	plan := spokeload.Plan{
		Seed: 1, Targets: []string{"http://" + spokecase.Serve(t, c.Server.Serve)}, Mix: []spokeload.RequestKind{kind},
		Phases: []spokeload.Phase{{Rate: 10, Duration: spokeclock.Second / 2}},
	}
	count := 0
	_, err := spokeload.Run(t.Context(), plan, func(result *spokeload.RequestResult) {
		count++
		require.Equal(t, spokeload.VerdictLost, result.Verdict(), result.Detail())
	})
	require.NoError(t, err)
	require.NotZero(t, count)
}
