package spokequarantine

import (
	"cmp"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// maxNewsParts bounds the parts of one message. Many servers that fail at once would
// otherwise fill the links between the instances.
const maxNewsParts = 16

// News tells a peer of suspected parts.
type News struct {
	Parts []PartNews `json:"parts"`
}

// PartNews is what an instance knows of one suspected part.
type PartNews struct {
	// Part is the key of the part.
	Part string `json:"part"`
	// Crashes are the crashes since the last known complete answer.
	Crashes []CrashNews `json:"crashes,omitempty"`
	// AnsweredAge is the time since that answer. Zero means that none is known.
	AnsweredAge spokeclock.Millis `json:"answered_millis,omitempty"`
	// BarredFor is the time until the end of the bar, or zero.
	BarredFor spokeclock.Millis `json:"barred_millis,omitempty"`
}

// CrashNews is one crash. Server and Request are hashes of their names.
type CrashNews struct {
	Server  uint32 `json:"server"`
	Request uint32 `json:"request"`
	// Age is the time since the crash.
	Age spokeclock.Millis `json:"age_millis"`
}

// NewsSince returns the suspects that have changed after a sequence number, the
// earliest changes first, and the number of the last one that is included. There is
// more if that isn't the number of the last change.
func (q *Quarantine) NewsSince(sequence int64) (news News, last int64, hasMore bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var changed []string
	for part, s := range q.suspects {
		if s.sequence > sequence {
			changed = append(changed, part)
		}
	}
	slices.SortFunc(changed, func(a, b string) int { return cmp.Compare(q.suspects[a].sequence, q.suspects[b].sequence) })
	hasMore = len(changed) > maxNewsParts
	last = q.sequence
	if hasMore {
		changed = changed[:maxNewsParts]
		last = q.suspects[changed[maxNewsParts-1]].sequence
	}
	now := q.Clock.Now()
	for _, part := range changed {
		news.Parts = append(news.Parts, q.suspects[part].news(part, now))
	}
	return news, last, hasMore
}

func (s *suspect) news(part string, now spokeclock.Millis) PartNews {
	news := PartNews{Part: part}
	if s.isBarredAt(now) {
		news.BarredFor = s.barredUntil - now
	}
	if s.isAnswered {
		news.AnsweredAge = max(1, now-s.answeredAt)
	}
	for _, c := range s.crashes {
		news.Crashes = append(news.Crashes, CrashNews{Server: c.server, Request: c.request, Age: now - c.at})
	}
	return news
}

// Merge adds what a peer knows. What is new goes on to the other peers.
func (q *Quarantine) Merge(news News) {
	now := q.Clock.Now()
	q.update(func() {
		for _, p := range news.Parts {
			if len(p.Part) > maxPartBytes {
				continue
			}
			if s := q.suspectOf(p.Part, now); s != nil && q.mergePart(s, p, now) {
				q.recordChange(s)
			}
		}
	})
}

// mergePart adds a peer's news to a suspect and reports whether other peers should
// learn of the result. The bar of a peer holds here unless an answer is known, which
// the peer may not have heard of.
func (q *Quarantine) mergePart(s *suspect, p PartNews, now spokeclock.Millis) bool {
	isNews := false
	if p.AnsweredAge > 0 {
		isNews = s.applyAnswer(now - p.AnsweredAge)
	}
	if answeredAt, isAnswered := q.answered[p.Part]; isAnswered {
		isNews = s.applyAnswer(answeredAt) || isNews
	}
	for _, c := range p.Crashes {
		isNews = s.addCrash(crashRecord{server: c.Server, request: c.Request, at: now - max(0, c.Age)}) || isNews
	}
	if s.isAnswered {
		return isNews || p.AnsweredAge == 0
	}
	until := now + min(p.BarredFor, barDuration)
	if p.BarredFor > 0 && (!s.isBarredAt(now) || until-s.barredUntil > spokeclock.Second) {
		s.barUntil(until)
		isNews = true
	}
	return isNews
}
