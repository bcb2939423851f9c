package spokethrottle

import (
	"math"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// News tells a peer of limits.
type News struct {
	Limits []LimitNews `json:"limits"`
}

// LimitNews is the last known statement of one server.
type LimitNews struct {
	Server     string `json:"server"`
	Generation int64  `json:"generation"`
	// PerSecond is the limit in requests a second, or absent if the server no longer
	// names one.
	PerSecond *float64 `json:"per_second,omitempty"`
	// Age is the time since the statement.
	Age spokeclock.Millis `json:"age_millis"`
}

// NewsSince returns the limits that have changed after a sequence number. See
// spokenews.Log.Since.
func (t *Throttle) NewsSince(sequence int64, isLocal bool) (news News, last int64, hasMore bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	batch := t.changes.Since(sequence, isLocal)
	now := t.Clock.Now()
	for _, server := range batch.Keys {
		s := t.servers[server]
		entry := LimitNews{Server: server.Name, Generation: server.Generation, Age: now - s.at}
		if s.limit.IsNamed {
			perSecond := s.limit.PerSecond
			entry.PerSecond = &perSecond
		}
		news.Limits = append(news.Limits, entry)
	}
	return news, batch.Last, batch.HasMore
}

// Merge adds what a peer knows. IsLocal is whether the peer is linked to all instances of
// this data centre, so that what is new goes on to others only.
func (t *Throttle) Merge(news News, isLocal bool) {
	now := t.Clock.Now()
	for _, n := range news.Limits {
		if len(n.Server) > maxNameBytes || (n.PerSecond != nil && !(*n.PerSecond >= 0 && *n.PerSecond < math.MaxFloat64)) {
			continue
		}
		t.update(func() (*serverState, bool) { return t.merge(n, isLocal, now) })
	}
}

// isReplacedBy reports whether a peer's statement is newer, or as new and lower.
func (s statement) isReplacedBy(limit Limit, madeAt spokeclock.Millis) bool {
	isConcurrent := madeAt-s.at >= -concurrentAge
	return madeAt-s.at > concurrentAge || (isConcurrent && limit.isBelow(s.limit))
}

// merge applies a peer's news of one server.
func (t *Throttle) merge(n LimitNews, isLocal bool, now spokeclock.Millis) (changed *serverState, isNews bool) {
	server := Server{Name: n.Server, Generation: n.Generation}
	var limit Limit
	if n.PerSecond != nil {
		limit = Limit{IsNamed: true, PerSecond: *n.PerSecond}
	}
	s, isKnown := t.servers[server]
	if !isKnown {
		if !limit.IsNamed || n.Age > goneAfter {
			return nil, false
		}
		s = t.add(server, now)
	}
	madeAt := now - max(0, n.Age)
	if isKnown && !s.isReplacedBy(limit, madeAt) {
		return nil, false
	}
	if s.limit != limit {
		changed, s.changedAt = s, now
	}
	s.statement, s.toldAt = statement{limit: limit, at: madeAt}, now
	t.changes.Record(server, !isLocal)
	return changed, true
}
