package spokelimit_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokelimit"
)

const (
	soleWorkspace = "w"
	soleRate      = 1000.0
)

// soleLimiter is one limiter among several members, with a clock that the test moves.
type soleLimiter struct {
	*spokelimit.AllotmentLimiter

	manual    spokeclock.Manual
	workspace *spokeconfig.Workspace
}

func newSoleLimiter(members int) *soleLimiter {
	s := &soleLimiter{workspace: &spokeconfig.Workspace{Name: soleWorkspace, Allotment: &spokeconfig.Allotment{Rate: soleRate, Burst: soleRate, CountsTokens: true}}}
	s.manual.Advance(spokeclock.Second)
	s.AllotmentLimiter = &spokelimit.AllotmentLimiter{
		Clock: s.manual.Clock(), MemberCountsFunc: func() (count, unheardCount int) { return members, 0 },
		Tolerance: spokelimit.Tolerance{Window: 8 * spokeclock.Second, Fraction: 0.1},
	}
	return s
}

// spend sends requests of cost 10 for a time and returns the cost of those allowed.
func (s *soleLimiter) spend(perSecond float64, duration spokeclock.Millis) float64 {
	const cost, tick = 10.0, 10 * spokeclock.Millis(1)
	pending, allowed := 0.0, 0.0
	for end := s.manual.Clock().Now() + duration; s.manual.Clock().Now() < end; s.manual.Advance(tick) {
		pending += perSecond * float64(tick) / float64(spokeclock.Second)
		for ; pending >= cost; pending -= cost {
			if s.Spend(s.workspace, spokelimit.Route{}, cost).Allowed() {
				allowed += cost
			}
		}
	}
	return allowed
}

// TestIsolatedLimiter guards against an instance that first sees a workspace while it hears
// nobody, and takes most of its allotment, as each of the others may do.
func TestIsolatedLimiter(t *testing.T) {
	const members = 10
	s := newSoleLimiter(members)
	for beat := range 20 {
		for peer := range members - 1 {
			s.SetPeerCounts(string(rune('a'+peer)), 1, map[string]int64{"spent/other": int64(beat)})
		}
		s.manual.Advance(100)
	}
	s.manual.Advance(3 * spokeclock.Second)
	allowed := s.spend(5*soleRate, 8*spokeclock.Second)
	// The bound of all is (rate x 8 s + burst) x 1.1.
	require.LessOrEqual(t, allowed*members, (soleRate*8+soleRate)*1.1)
}

// TestNewOriginOfSums guards against the sums of a data centre that another instance begins to
// send, which were taken as one debt.
func TestNewOriginOfSums(t *testing.T) {
	s := newSoleLimiter(2)
	spent := int64(0)
	for range 40 {
		spent += 50
		s.SetSumCounts("data_centre/b", 1, map[string]int64{"spent/w": spent, "asked/w": spent})
		s.spend(100, 100)
	}
	s.SetSumCounts("data_centre/b", 2, map[string]int64{"spent/w": spent + 1_000_000, "asked/w": spent + 1_000_000})
	allowed := s.spend(100, spokeclock.Second)
	require.GreaterOrEqual(t, allowed, 90.0)
}

// TestIdleLimiter guards against an instance that was idle for a workspace and takes its
// bucket for full, although peers have spent it.
func TestIdleLimiter(t *testing.T) {
	s := newSoleLimiter(2)
	spent := int64(0)
	hear := func(perBeat int64) {
		spent += perBeat
		s.SetPeerCounts("b", 1, map[string]int64{"spent/w": spent, "asked/w": spent})
	}
	for range 20 {
		hear(50)
		s.spend(100, 100)
	}
	// The bucket is full long before the peer spends all of it.
	for range 80 {
		hear(0)
		s.manual.Advance(100)
	}
	hear(soleRate)
	require.LessOrEqual(t, s.spend(10*soleRate, 100), soleRate/2)
}

// TestUnseenWorkspace guards against an instance that gets its first request of a workspace
// while peers spend all of the workspace's allotment, and takes the bucket for full.
func TestUnseenWorkspace(t *testing.T) {
	// The peer spends the rate and, in 6 s, five times the burst beyond it.
	const beat, beats, spentPerBeat = 100 * spokeclock.Millis(1), 60, 183
	s := newSoleLimiter(2)
	spent := int64(0)
	for range beats {
		spent += spentPerBeat
		s.SetPeerCounts("b", 1, map[string]int64{"spent/w": spent, "asked/w": spent})
		s.manual.Advance(beat)
	}
	// Whoever has a debt spends at most what the rate yields meanwhile.
	require.LessOrEqual(t, s.spend(10*soleRate, beat), soleRate*float64(beat)/float64(spokeclock.Second))
}
