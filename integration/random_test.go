package integration

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"

	"mulberryspoke.example/mulberryspoke/spokeload"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// TestRandomFaults injects random sequences of faults under load and checks
// what callers observe. A seed makes the sequence again:
// MULBERRYSPOKE_SEED=7 go test -run TestRandomFaults ./integration
func TestRandomFaults(t *testing.T) {
	seeds := []uint64{1, 2}
	if soaking() {
		seeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	}
	if given, err := strconv.ParseUint(os.Getenv("MULBERRYSPOKE_SEED"), 10, 64); err == nil {
		seeds = []uint64{given}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, seed))
			steps := randomSteps(random)
			text, _ := yaml.Marshal(steps)
			t.Logf("seed %d:\n%s", seed, text)
			s := script{
				Deployment: deployment{DataCentres: []string{"a", "b"}, Entries: 2, Engines: 3, Plains: 2, Slots: 8, Step: 4, Work: 50, ReportsOutcomes: true},
				Steps:      steps,
			}
			scriptRun{}.carryOut(t, s)
		})
	}
}

const randomFaults = 7

func randomSteps(random *rand.Rand) []step {
	steps := []step{{Load: &loadStep{
		Name: "mixed", Rate: 20, Length: 9000, Seed: random.Uint64N(1000) + 1,
		Mix: []spokeload.Kind{
			{Name: "question", Shape: spokeload.ShapeChat, Service: "assistant", Weight: 3, PromptWords: 10, Tokens: 40, Stream: true, Repeats: 20},
			{Name: "tag", Shape: spokeload.ShapeChat, Service: "assistant", Weight: 2, PromptWords: 10, Tokens: 8, Repeats: 20},
			{Name: "booking", Shape: spokeload.ShapeBooking, Service: "booking", Path: "/payments", Weight: 3, PromptWords: 3, Repeats: 20},
		},
	}}}
	for range randomFaults {
		begin, end := randomFault(random)
		steps = append(steps, step{Sleep: 200 + 20*6}, begin, step{Sleep: 600}, end)
	}
	return append(steps, step{Wait: "mixed"})
}

// randomFault draws a fault and what ends it.
func randomFault(random *rand.Rand) (begin, end step) {
	place := string("ab"[random.IntN(2)])
	other := string("ab"[1-strings.Index("ab", place)])
	engine := fmt.Sprintf("%s-engine-%d", place, 1+random.IntN(3))
	plain := fmt.Sprintf("%s-plain-%d", place, 1+random.IntN(2))
	proxied := func(between string, faults spokestandin.ProxyFaults) (step, step) {
		return step{Proxy: &proxyStep{Between: between, Faults: faults}}, step{Proxy: &proxyStep{Between: between}}
	}
	switch random.IntN(12) {
	case 0:
		return step{Table: &tableStep{Faults: spokestandin.TableFaults{Faults: spokestandin.Faults{Unavailable: true}}}}, step{Table: &tableStep{}}
	case 1:
		lost := spokestandin.Faults{AbortResponses: 5, PathPrefix: "/v1/transact"}
		return step{Table: &tableStep{Faults: spokestandin.TableFaults{Faults: lost}}}, step{Table: &tableStep{}}
	case 2:
		return proxied("platform/"+place, spokestandin.ProxyFaults{Frozen: true})
	case 3:
		return proxied("link/"+place+"/"+other+"-*", spokestandin.ProxyFaults{Disconnected: true})
	case 4:
		return proxied("server/"+plain, spokestandin.ProxyFaults{AbortResponses: 3})
	case 5:
		return proxied("server/"+plain, spokestandin.ProxyFaults{Disconnected: true})
	case 6:
		return proxied("server/"+engine, spokestandin.ProxyFaults{Disconnected: true})
	case 7:
		return step{Engine: &engineStep{Name: engine, Faults: spokestandin.EngineFaults{TruncatedStreams: 3, TruncateAfterTokens: 5, ForeignTokenStreams: 3, DuplicateTokenStreams: 3}}}, step{Engine: &engineStep{Name: engine}}
	case 8:
		return step{Signal: &signalStep{Process: engine, Signal: "stop"}}, step{Signal: &signalStep{Process: engine, Signal: "continue"}}
	case 9:
		return step{Plain: &plainStep{Name: plain, Faults: spokestandin.PlainFaults{WrongAttemptAnswers: 3}}}, step{Plain: &plainStep{Name: plain}}
	case 10:
		return proxied("server/"+plain, spokestandin.ProxyFaults{SwapResponses: 2})
	default:
		return step{Cloud: &cloudStep{Faults: spokestandin.CloudFaults{Faults: spokestandin.Faults{Unavailable: true}}}}, step{Cloud: &cloudStep{}}
	}
}
