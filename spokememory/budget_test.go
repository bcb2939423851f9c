package spokememory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// budgetStep is one step of a script. Each names at most one request.
type budgetStep struct {
	Advance   spokeclock.Millis `yaml:"advance"`
	Open      string            `yaml:"open"`
	Workspace string            `yaml:"workspace"`
	Announced int64             `yaml:"announced"`
	Grow      string            `yaml:"grow"`
	Answer    string            `yaml:"answer"`
	Arrive    string            `yaml:"arrive"`
	End       string            `yaml:"end"`
	Release   string            `yaml:"release"`
	Bytes     int64             `yaml:"bytes"`
	Sweep     bool              `yaml:"sweep"`
	Want      Kind              `yaml:"want"`
	Evicted   []string          `yaml:"evicted"`
	Held      *int64            `yaml:"held"`
}

// budgetScript is the state of a scripted test.
type budgetScript struct {
	manual    *spokeclock.Manual
	budget    *Budget
	requests  map[string]*Reservation
	decisions []Decision
	evicted   []string
}

// TestBudget guards against a flood of bodies that takes more memory than the budget, takes
// the reserve of small requests, or keeps what it holds by stalling, and against callers
// within the limits that lose what they hold.
func TestBudget(t *testing.T) {
	cases := spokecase.Read[[]struct {
		Name  string       `yaml:"name"`
		Limit int64        `yaml:"limit"`
		Steps []budgetStep `yaml:"steps"`
	}](t, "testdata/budgets.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			s := &budgetScript{manual: &spokeclock.Manual{}, requests: make(map[string]*Reservation)}
			s.budget = &Budget{Limit: c.Limit, Clock: s.manual.Clock(), DecidedFunc: func(d Decision) { s.decisions = append(s.decisions, d) }}
			for i, step := range c.Steps {
				s.run(t, fmt.Sprintf("step %d", i+1), step)
			}
		})
	}
}

func (s *budgetScript) run(t *testing.T, name string, step budgetStep) {
	s.manual.Advance(step.Advance)
	s.decisions, s.evicted = nil, nil
	refusal := s.apply(step)
	require.Equal(t, step.Want, refusal, name)
	require.Equal(t, step.Evicted, s.evicted, name)
	if step.Held != nil {
		require.Equal(t, *step.Held, s.budget.Held(), name)
	}
	reported := len(s.evicted)
	if refusal != "" && refusal != KindEvicted {
		reported++
		require.Equal(t, refusal, s.decisions[len(s.decisions)-1].Kind(), name)
	}
	require.Len(t, s.decisions, reported, "%s: each decision is reported once", name)
}

// apply runs a step and returns the reason of a refusal.
func (s *budgetScript) apply(step budgetStep) Kind {
	switch {
	case step.Open != "":
		s.requests[step.Open] = s.budget.Open(step.Workspace, step.Announced)
	case step.Grow != "":
		return spokeerror.KindOf[Kind](s.requests[step.Grow].Grow(step.Bytes))
	case step.Answer != "":
		if !s.requests[step.Answer].HoldAnswer(int(step.Bytes)) {
			return KindAnswer
		}
	case step.Arrive != "":
		r := s.requests[step.Arrive]
		if r.evictFunc == nil {
			r.beginReading(func() { s.evicted = append(s.evicted, step.Arrive) })
		}
		r.recordArrival(int(step.Bytes))
	case step.End != "":
		s.requests[step.End].endReading()
	case step.Release != "":
		s.requests[step.Release].Release()
	case step.Sweep:
		s.budget.EvictSlow()
	}
	return ""
}

// TestDeriveLimits guards against bounds that a caller within the limits of a deployment
// meets, and against those that leave a process no descriptors or memory of its own.
func TestDeriveLimits(t *testing.T) {
	cases := spokecase.Read[[]struct {
		Name        string `yaml:"name"`
		MemoryMB    int64  `yaml:"memory_mb"`
		Descriptors int    `yaml:"descriptors"`
		BudgetMB    int64  `yaml:"budget_mb"`
		OwnMB       int64  `yaml:"own_mb"`
		Connections int    `yaml:"connections"`
		// Peers and Small bound the connections of the peers' listener and of each one for
		// probes, metrics or operators.
		Peers int `yaml:"peers"`
		Small int `yaml:"small"`
	}](t, "testdata/limits.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			limits := DeriveLimits(c.MemoryMB<<20, c.Descriptors)
			require.Equal(t, c.BudgetMB, limits.BudgetBytes>>20)
			require.Equal(t, c.OwnMB, limits.OwnBytes>>20)
			require.Equal(t, c.Connections, limits.Connections)
			require.Equal(t, c.Peers, limits.PeerConnections)
			require.Equal(t, c.Small, limits.SmallListener)
		})
	}
}

// TestOwnReserve guards against bounds at which a full mesh of 160 peers, or the gateway of
// a data centre of 20 among 20 other ones, loses links, or which leave the table no
// descriptors of the reserve.
func TestOwnReserve(t *testing.T) {
	const meshPeers, gatewayPeers, ownCalls = 160, 19 + 2*20, 20
	limits := DeriveLimits(144<<20, 3075)
	require.GreaterOrEqual(t, limits.PeerConnections, meshPeers)
	require.GreaterOrEqual(t, limits.PeerConnections, gatewayPeers)
	require.LessOrEqual(t, limits.PeerConnections+meshPeers+2*limits.SmallListener+ownCalls, maxOwnReserve)
}

// TestOverrides guards against a flag that is ignored, or that overflows a bound.
func TestOverrides(t *testing.T) {
	cases := spokecase.Read[[]struct {
		Name        string `yaml:"name"`
		BudgetMB    int    `yaml:"budget_mb"`
		Connections int    `yaml:"connections"`
		Peers       int    `yaml:"peers"`
		Error       string `yaml:"error"`
		// Want are the limits that replace derived ones of 1 MB, 10 connections and 5 of peers.
		WantBudgetMB    int64 `yaml:"want_budget_mb"`
		WantConnections int   `yaml:"want_connections"`
		WantPeers       int   `yaml:"want_peers"`
	}](t, "testdata/overrides.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			overrides, err := OverridesFromFlags(c.BudgetMB, c.Connections, c.Peers)
			if c.Error != "" {
				require.ErrorContains(t, err, c.Error)
				require.Equal(t, KindInvalidLimit, spokeerror.KindOf[Kind](err))
				return
			}
			require.NoError(t, err)
			limits := Limits{BudgetBytes: 1 << 20, Connections: 10, PeerConnections: 5}.Overridden(overrides)
			require.Equal(t, c.WantBudgetMB, limits.BudgetBytes>>20)
			require.Equal(t, c.WantConnections, limits.Connections)
			require.Equal(t, c.WantPeers, limits.PeerConnections)
		})
	}
}
