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

// TestRandomFaults injects random sequences of faults under load and checks the
// responses that callers get. A seed reproduces its sequence:
// MULBERRYSPOKE_SEED=7 go test -run TestRandomFaults ./integration
func TestRandomFaults(t *testing.T) {
	seeds := []uint64{1, 2}
	if isSoakRun() {
		seeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	}
	if envSeed, err := strconv.ParseUint(os.Getenv("MULBERRYSPOKE_SEED"), 10, 64); err == nil {
		seeds = []uint64{envSeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, seed))
			steps := randomSteps(random)
			text, _ := yaml.Marshal(steps)
			t.Logf("seed %d:\n%s", seed, text)
			s := script{
				Deployment: deployment{DataCentres: []string{"a", "b"}, EntryInstances: 2, Engines: 3, PlainServers: 2, Slots: 8, StepTime: 4, ProcessingTime: 50, ReportsOutcomes: true},
				Steps:      steps,
			}
			scriptRun{}.execute(t, s)
		})
	}
}

const randomFaultCount = 7

func randomSteps(random *rand.Rand) []step {
	steps := []step{{Load: &loadStep{
		Name: "mixed", Rate: 20, Length: 9000, Seed: random.Uint64N(1000) + 1,
		Mix: []spokeload.RequestKind{
			{Name: "question", Shape: spokeload.ShapeChat, Service: "assistant", Weight: 3, PromptWords: 10, AnswerTokens: 40, Stream: true, MaxRetries: 20},
			{Name: "tag", Shape: spokeload.ShapeChat, Service: "assistant", Weight: 2, PromptWords: 10, AnswerTokens: 8, MaxRetries: 20},
			{Name: "booking", Shape: spokeload.ShapeBooking, Service: "booking", Path: "/payments", Weight: 3, PromptWords: 3, MaxRetries: 20},
		},
	}}}
	for range randomFaultCount {
		inject, remove := randomFault(random)
		steps = append(steps, step{Sleep: 200 + 20*6}, inject, step{Sleep: 600}, remove)
	}
	return append(steps, step{AwaitLoad: "mixed"})
}

// randomFault returns the step that injects a random fault and the step that
// removes it.
func randomFault(random *rand.Rand) (inject, remove step) {
	dataCentre := string("ab"[random.IntN(2)])
	otherDataCentre := string("ab"[1-strings.Index("ab", dataCentre)])
	engine := fmt.Sprintf("%s-engine-%d", dataCentre, 1+random.IntN(3))
	plainServer := fmt.Sprintf("%s-plain-%d", dataCentre, 1+random.IntN(2))
	proxyFault := func(name string, faults spokestandin.ProxyFaults) (step, step) {
		return step{Proxy: &proxyStep{Name: name, Faults: faults}}, step{Proxy: &proxyStep{Name: name}}
	}
	switch random.IntN(12) {
	case 0:
		return step{Table: &tableStep{Faults: spokestandin.TableFaults{Faults: spokestandin.Faults{Unavailable: true}}}}, step{Table: &tableStep{}}
	case 1:
		lostResponses := spokestandin.Faults{AbortResponses: 5, PathPrefix: "/v1/transact"}
		return step{Table: &tableStep{Faults: spokestandin.TableFaults{Faults: lostResponses}}}, step{Table: &tableStep{}}
	case 2:
		return proxyFault("platform/"+dataCentre, spokestandin.ProxyFaults{Frozen: true})
	case 3:
		return proxyFault("link/"+dataCentre+"/"+otherDataCentre+"-*", spokestandin.ProxyFaults{Disconnected: true})
	case 4:
		return proxyFault("server/"+plainServer, spokestandin.ProxyFaults{AbortResponses: 3})
	case 5:
		return proxyFault("server/"+plainServer, spokestandin.ProxyFaults{Disconnected: true})
	case 6:
		return proxyFault("server/"+engine, spokestandin.ProxyFaults{Disconnected: true})
	case 7:
		return step{Engine: &engineStep{Name: engine, Faults: spokestandin.EngineFaults{TruncatedStreams: 3, TruncateAfterTokens: 5, ForeignTokenStreams: 3, DuplicateTokenStreams: 3}}}, step{Engine: &engineStep{Name: engine}}
	case 8:
		return step{Signal: &signalStep{Process: engine, Signal: "stop"}}, step{Signal: &signalStep{Process: engine, Signal: "continue"}}
	case 9:
		return step{Plain: &plainStep{Name: plainServer, Faults: spokestandin.PlainFaults{WrongAttemptAnswers: 3}}}, step{Plain: &plainStep{Name: plainServer}}
	case 10:
		return proxyFault("server/"+plainServer, spokestandin.ProxyFaults{SwapResponses: 2})
	default:
		return step{Cloud: &cloudStep{Faults: spokestandin.CloudFaults{Faults: spokestandin.Faults{Unavailable: true}}}}, step{Cloud: &cloudStep{}}
	}
}
