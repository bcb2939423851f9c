package spokememory

import (
	"context"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

const (
	// budgetShare is the part of the memory that callers' bytes may take. The garbage
	// collector needs about the same again, and the program, its connections and its own
	// calls the rest.
	budgetShare = 0.25
	// ownShare is the part of the memory that the responses to the instance's own calls and
	// the messages of its peers may take, and minOwnBytes what they may take in any case, which
	// is more than the longest message.
	ownShare    = 0.125
	minOwnBytes = 24 << 20
	// connectionShare is the part of the memory that callers' connections may take, and
	// connectionBytes what one takes in this process: goroutines and buffers.
	connectionShare = 0.25
	connectionBytes = 40 << 10
	// fileReserve is the number of descriptors that are kept for files.
	fileReserve = 200
	// maxOwnReserve is the number of descriptors for peers (up to 160 links in each
	// direction) and the table. Of few descriptors, it is ownReserveShare of them.
	maxOwnReserve   = 384
	ownReserveShare = 0.25
	// peerShare is the part of that reserve for connections from peers: 176 of 384, of which
	// a full mesh of 160 peers uses 160. As many are left for the links to them.
	peerShare = 0.46
	// smallListenerShare is the part of that reserve for each listener for probes, metrics or
	// operators: 12 of 384. A balancer, a collector of metrics and an operator use one each
	// at a time, on each of a few hosts.
	smallListenerShare = 1.0 / 32
	// minSmallListener is the least number for such a listener, where descriptors are few.
	minSmallListener = 4
	// callerDescriptorShare is the part of the remaining descriptors for callers. Each
	// request may take a connection to a backend server too, and idle ones are kept.
	callerDescriptorShare = 0.4
	// sweepInterval is the time between two checks for slow bodies.
	sweepInterval = spokeclock.Second
	// maxFlag bounds the limits that flags set, so that conversions don't overflow.
	maxFlag       = 1 << 20
	megabyteShift = 20
	// logLinesPerSecond bounds the log lines of this package.
	logLinesPerSecond = 5
)

// Limits are the bounds of a process.
type Limits struct {
	// BudgetBytes bounds what callers' requests hold. Zero means no bound.
	BudgetBytes int64
	// OwnBytes bounds what the responses to the instance's own calls and the messages of its
	// peers hold. Zero means no bound.
	OwnBytes int64
	// Connections bounds callers' connections. Zero means no bound.
	Connections int
	// PeerConnections bounds the connections from peers. Zero means no bound.
	PeerConnections int
	// SmallListener bounds the connections of each listener for probes, metrics or operators.
	// Zero means no bound.
	SmallListener int
}

// DeriveLimits returns the bounds for a process that may use memoryBytes and
// descriptors. Zero means that a resource isn't limited.
func DeriveLimits(memoryBytes int64, descriptors int) Limits {
	limits := Limits{BudgetBytes: int64(budgetShare * float64(memoryBytes))}
	if memoryBytes > 0 {
		limits.OwnBytes = max(minOwnBytes, int64(ownShare*float64(memoryBytes)))
		limits.Connections = max(1, int(connectionShare*float64(memoryBytes)/connectionBytes))
	}
	if descriptors <= 0 {
		return limits
	}
	free := float64(max(0, descriptors-fileReserve))
	own := min(maxOwnReserve, ownReserveShare*free)
	byDescriptors := max(1, int(callerDescriptorShare*(free-own)))
	if limits.Connections == 0 || byDescriptors < limits.Connections {
		limits.Connections = byDescriptors
	}
	limits.PeerConnections = max(1, int(peerShare*own))
	limits.SmallListener = max(minSmallListener, int(smallListenerShare*own))
	return limits
}

// Overridden returns the limits with those of overrides that are not zero.
func (l Limits) Overridden(overrides Limits) Limits {
	if overrides.BudgetBytes > 0 {
		l.BudgetBytes = overrides.BudgetBytes
	}
	if overrides.Connections > 0 {
		l.Connections = overrides.Connections
	}
	if overrides.PeerConnections > 0 {
		l.PeerConnections = overrides.PeerConnections
	}
	return l
}

// OverridesFromFlags returns the limits that flags set; zero stands for a derived one. It
// returns an error of kind KindInvalidLimit if a flag is out of range.
func OverridesFromFlags(budgetMegabytes, connections, peerConnections int) (Limits, error) {
	if budgetMegabytes < 0 || budgetMegabytes > maxFlag {
		return Limits{}, spokeerror.Newf("check flags", KindInvalidLimit, "--caller-memory-mb is %d; allowed: 0 to %d", budgetMegabytes, maxFlag)
	}
	if connections < 0 || connections > maxFlag {
		return Limits{}, spokeerror.Newf("check flags", KindInvalidLimit, "--caller-connections is %d; allowed: 0 to %d", connections, maxFlag)
	}
	if peerConnections < 0 || peerConnections > maxFlag {
		return Limits{}, spokeerror.Newf("check flags", KindInvalidLimit, "--peer-connections is %d; allowed: 0 to %d", peerConnections, maxFlag)
	}
	return Limits{BudgetBytes: int64(budgetMegabytes) << megabyteShift, Connections: connections, PeerConnections: peerConnections}, nil
}

// Guard is the bounds of a process with their metrics and log lines.
type Guard struct {
	// Budget bounds the bytes.
	Budget *Budget
	// OwnBudget bounds the bytes of the instance's own calls.
	OwnBudget *Budget
	// Connections bounds callers' connections.
	Connections *ConnectionLimit
	// Peers bounds the connections from peers.
	Peers *ConnectionLimit

	limits Limits
	set    *metrics.Set
	log    zerolog.Logger
	// lines bounds the log lines, and suppressedCount counts those left out since the last
	// one.
	lines           *rate.Limiter
	suppressedCount atomic.Int64
	counters        map[string]*metrics.Counter
}

// NewGuard returns the bounds of a process, which are counted in a set of metrics.
func NewGuard(limits Limits, set *metrics.Set, log zerolog.Logger) *Guard {
	g := &Guard{limits: limits, set: set, log: log, lines: rate.NewLimiter(logLinesPerSecond, logLinesPerSecond), counters: make(map[string]*metrics.Counter)}
	g.Budget = &Budget{Limit: limits.BudgetBytes, DecidedFunc: g.recordDecision}
	g.OwnBudget = &Budget{Limit: limits.OwnBytes, DecidedFunc: g.recordOwnDecision}
	g.Connections = &ConnectionLimit{Limit: limits.Connections, Budget: g.Budget, ClosedFunc: g.recordClosed}
	g.Peers = g.newListenerLimit("peers", limits.PeerConnections)
	g.Peers.HasLinks = true
	set.NewGauge("spoke_memory_held_bytes", func() float64 { return float64(g.Budget.Held()) })
	set.NewGauge("spoke_memory_budget_bytes", func() float64 { return float64(limits.BudgetBytes) })
	set.NewGauge("spoke_own_memory_held_bytes", func() float64 { return float64(g.OwnBudget.Held()) })
	g.addCounter(ownRefusalMetric)
	set.NewGauge("spoke_caller_connections", func() float64 { return float64(g.Connections.Count()) })
	for _, kind := range []Kind{KindFull, KindWorkspaceShare, KindEvicted, KindAnswer} {
		g.addCounter(refusalMetric(kind))
	}
	for _, reason := range []CloseReason{CloseIdle, CloseSilent, CloseSlowHeaders, CloseNotRead, CloseNoPlace, CloseHeaders} {
		g.addCounter(closeMetric(reason))
	}
	return g
}

// ownRefusalMetric counts the refused bytes of own calls.
const ownRefusalMetric = "spoke_own_memory_refused_total"

// OpenOwn opens the charge of a response to an own call, or of a message of a peer. HoldFunc
// charges a number of bytes more, or reports that they must not be held. ReleaseFunc returns
// them all; holdFunc is not called after that.
func (g *Guard) OpenOwn() (holdFunc func(bytes int) bool, releaseFunc func()) {
	reservation := g.OwnBudget.Open("", -1)
	return reservation.HoldAnswer, reservation.Release
}

// NewSmallListener returns the bound of a listener for probes, metrics or operators, by
// the name that metrics and log lines give it. A request that takes longer than
// maxRequestTime may be closed for another connection.
func (g *Guard) NewSmallListener(name string, maxRequestTime spokeclock.Millis) *ConnectionLimit {
	limit := g.newListenerLimit(name, g.limits.SmallListener)
	limit.MaxRequestTime = maxRequestTime
	return limit
}

func (g *Guard) newListenerLimit(name string, limit int) *ConnectionLimit {
	connections := &ConnectionLimit{Limit: limit}
	connections.ClosedFunc = func(c ClosedConnection) { g.recordListenerClosed(name, limit, c) }
	g.set.NewGauge(`spoke_listener_connections{listener="`+name+`"}`, func() float64 { return float64(connections.Count()) })
	for _, reason := range []CloseReason{CloseIdle, CloseSilent, CloseSlowHeaders, CloseNotRead, CloseSlowRequest, CloseNoPlace} {
		g.addCounter(listenerCloseMetric(name, reason))
	}
	return connections
}

func listenerCloseMetric(name string, reason CloseReason) string {
	return `spoke_listener_connections_closed_total{listener="` + name + `",reason="` + string(reason) + `"}`
}

func refusalMetric(kind Kind) string {
	return `spoke_memory_refused_total{reason="` + string(kind) + `"}`
}

func closeMetric(reason CloseReason) string {
	return `spoke_connections_closed_total{reason="` + string(reason) + `"}`
}

func (g *Guard) addCounter(name string) { g.counters[name] = g.set.NewCounter(name) }

// Run evicts slow bodies until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	spokeclock.Every(ctx, sweepInterval, g.Budget.EvictSlow)
}

func (g *Guard) recordDecision(d Decision) {
	g.counters[refusalMetric(d.Kind())].Inc()
	event, mayLog := g.logEvent()
	if !mayLog {
		return
	}
	event.Str("reason", string(d.Kind())).Str("workspace", d.Workspace()).Int64("held", d.Held()).Int64("budget", g.Budget.Limit).Int64("bytes", d.Requested()).Int64("age_millis", int64(d.Age())).Msg("Bytes of a caller's request were refused.")
}

func (g *Guard) recordOwnDecision(d Decision) {
	g.counters[ownRefusalMetric].Inc()
	event, mayLog := g.logEvent()
	if !mayLog {
		return
	}
	event.Int64("held", d.Held()).Int64("budget", g.OwnBudget.Limit).Int64("bytes", d.Requested()).Int64("age_millis", int64(d.Age())).Msg("Bytes of a response to an own call or of a peer's message were refused.")
}

func (g *Guard) recordClosed(c ClosedConnection) {
	g.counters[closeMetric(c.Reason())].Inc()
	event, mayLog := g.logEvent()
	if !mayLog {
		return
	}
	event.Str("reason", string(c.Reason())).Int("connections", c.Count()).Int("limit", g.Connections.Limit).Int64("age_millis", int64(c.Age())).Msg("Connection of a caller was closed.")
}

func (g *Guard) recordListenerClosed(name string, limit int, c ClosedConnection) {
	g.counters[listenerCloseMetric(name, c.Reason())].Inc()
	event, mayLog := g.logEvent()
	if !mayLog {
		return
	}
	event.Str("listener", name).Str("reason", string(c.Reason())).Int("connections", c.Count()).Int("limit", limit).Int64("age_millis", int64(c.Age())).Msg("Connection of a listener was closed.")
}

// logEvent returns a log line, or false if there were too many.
func (g *Guard) logEvent() (*zerolog.Event, bool) {
	if !g.lines.Allow() {
		g.suppressedCount.Add(1)
		return nil, false
	}
	return g.log.Warn().Int64("suppressed", g.suppressedCount.Swap(0)), true
}
