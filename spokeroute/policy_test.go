package spokeroute_test

import (
	"cmp"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeroute"
)

type choiceCase struct {
	Name         string              `yaml:"name"`
	Routing      spokeconfig.Routing `yaml:"routing"`
	LongAnswer   bool                `yaml:"long"`
	TriedServers []string            `yaml:"avoid"`
	// Resumed is the version at which a stream began that is resumed. A new one may be
	// resumed later if it is Resumable, and should begin at Preferred, if set.
	Resumed   string `yaml:"resumed"`
	Resumable bool   `yaml:"resumable"`
	Preferred string `yaml:"preferred"`
	// PromptTokens is the length of the prompt, of which SharedTokens are a prefix with the
	// key PrefixKey. LocalPrefixes is whether it is cached in each data centre.
	PromptTokens  int    `yaml:"prompt_tokens"`
	SharedTokens  int    `yaml:"shared_tokens"`
	PrefixKey     uint64 `yaml:"prefix_key"`
	LocalPrefixes bool   `yaml:"local_prefixes"`
	// Instances is the number of entry instances.
	Instances  int `yaml:"instances"`
	Candidates []struct {
		Name         string  `yaml:"name"`
		Remote       bool    `yaml:"remote"`
		DataCentre   string  `yaml:"data_centre"`
		Avoided      bool    `yaml:"avoided"`
		AllowsPrefix bool    `yaml:"allows_prefix"`
		RemoteDelay  float64 `yaml:"remote_delay"`
		Backlog      int     `yaml:"backlog"`
		Draining     bool    `yaml:"leaving"`
		Suspended    bool    `yaml:"suspended"`
		Throttled    bool    `yaml:"throttled"`
		InFlight     int     `yaml:"in_flight"`
		LongInFlight int     `yaml:"long"`
		ReportedLoad int     `yaml:"reported"`
		Slowness     float64 `yaml:"slowness"`
		TrafficShare float64 `yaml:"trust"`
		PrefixCached bool    `yaml:"cached"`
		Version      string  `yaml:"version"`
	} `yaml:"candidates"`
	Server string            `yaml:"server"`
	Reason spokeroute.Reason `yaml:"reason"`
}

func (c choiceCase) candidates() []spokeroute.Candidate {
	var candidates []spokeroute.Candidate
	for _, given := range c.Candidates {
		candidate := spokeroute.Candidate{
			Name: given.Name, Local: !given.Remote, Draining: given.Draining, Suspended: given.Suspended, Throttled: given.Throttled, Slots: 8,
			InFlight: given.InFlight, LongInFlight: given.LongInFlight, ReportedLoad: given.ReportedLoad, Slowness: given.Slowness, TrafficShare: given.TrafficShare, PrefixCached: given.PrefixCached, SoftwareVersion: given.Version,
		}
		candidate.DataCentre, candidate.IsAvoided, candidate.AllowsPrefix, candidate.PrefillBacklog = given.DataCentre, given.Avoided, given.AllowsPrefix, given.Backlog
		if given.Remote {
			candidate.RemoteDelay = cmp.Or(given.RemoteDelay, spokeroute.DefaultRemoteDelay)
		}
		if candidate.TrafficShare == 0 {
			candidate.TrafficShare = 1
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// TestChoices makes each choice with many seeds, as the policies use random
// numbers.
func TestChoices(t *testing.T) {
	cases := spokecase.Read[[]choiceCase](t, "testdata/choices.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			for seed := range uint64(50) {
				policy := spokeroute.Policy{Routing: c.Routing, Random: rand.New(rand.NewPCG(seed, seed))}
				decision := policy.Choose(c.candidates(), spokeroute.Request{
					LongAnswer: c.LongAnswer, TriedServers: c.TriedServers, SoftwareVersion: c.Resumed, IsResumed: c.Resumed != "",
					IsResumable: c.Resumable, PreferredVersion: c.Preferred, HasPreferredVersion: c.Preferred != "",
					PromptTokens: c.PromptTokens, SharedPrefixTokens: c.SharedTokens, PrefixKey: c.PrefixKey, HasLocalPrefixes: c.LocalPrefixes, EntryInstances: c.Instances,
				})
				require.Equal(t, c.Server, decision.Server())
				require.Equal(t, c.Reason, decision.Reason())
			}
		})
	}
}
