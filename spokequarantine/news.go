package spokequarantine

import (
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// trialNewsGap is the difference of two ends from which they are of two trials. News of
// one trial that come by two ways differ less.
const trialNewsGap = spokeclock.Second

// News tells a peer of suspects.
type News struct {
	Suspects []SuspectNews `json:"parts"`
}

// SuspectNews is what an instance knows of one suspect.
type SuspectNews struct {
	// Subject is what servers have crashed on.
	Subject Subject `json:"part"`
	// Crashes are the crashes since the last known complete answer.
	Crashes []CrashNews `json:"crashes,omitempty"`
	// AnsweredAge is the time since that answer. Zero means that none is known.
	AnsweredAge spokeclock.Millis `json:"answered_millis,omitempty"`
	// BarredFor is the time until the first instance ends the bar, or zero.
	BarredFor spokeclock.Millis `json:"barred_millis,omitempty"`
	// TriedFor is the time until the result of a trial is known, or zero.
	TriedFor spokeclock.Millis `json:"tried_millis,omitempty"`
}

// CrashNews is one crash. Server and Request are hashes of their names.
type CrashNews struct {
	Server  uint32 `json:"server"`
	Request uint32 `json:"request"`
	// Generation is that of the server's run. It is zero if it is not known, as in news of
	// instances that don't tell it.
	Generation int64 `json:"generation,omitempty"`
	// AnswerAge is the age at the crash of the last answer of the server's service, or zero.
	AnswerAge spokeclock.Millis `json:"answer_age_millis,omitempty"`
	// Age is the time since the crash.
	Age spokeclock.Millis `json:"age_millis"`
}

// maxNewsAge bounds the ages in news, so that they don't overflow when they are passed on. It
// is above the time after which a crash no longer counts.
const maxNewsAge = 60 * 60 * spokeclock.Second

func boundedAge(age spokeclock.Millis) spokeclock.Millis { return min(max(0, age), maxNewsAge) }

// NewsSince returns the suspects that have changed after a sequence number, the
// earliest changes first, and the number up to which they are included. A peer of this
// data centre, for which isLocal is set, isn't told what others of it have told here. With
// zero, all are returned.
func (q *Quarantine) NewsSince(sequence int64, isLocal bool) (news News, last int64, hasMore bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	batch := q.changes.Since(sequence, isLocal)
	now := q.Clock.Now()
	for _, subject := range batch.Keys {
		news.Suspects = append(news.Suspects, q.suspects[subject].news(subject, now))
	}
	return news, batch.Last, batch.HasMore
}

func (s *suspect) news(subject Subject, now spokeclock.Millis) SuspectNews {
	news := SuspectNews{Subject: subject}
	if s.isBarred && s.barredUntil > now {
		news.BarredFor = s.barredUntil - now
	}
	if s.isBarred && s.triedUntil > now {
		news.TriedFor = s.triedUntil - now
	}
	if s.isAnswered {
		news.AnsweredAge = max(1, now-s.answeredAt)
	}
	for _, c := range s.crashes {
		news.Crashes = append(news.Crashes, CrashNews{Server: c.server, Generation: c.generation, Request: c.request, Age: now - c.at, AnswerAge: c.answerAge})
	}
	return news
}

// Merge adds what a peer knows. IsLocal is whether the peer is linked to all instances
// of this data centre, so that what is new goes on to others only.
func (q *Quarantine) Merge(news News, isLocal bool) {
	now := q.Clock.Now()
	q.update(func() {
		for _, n := range news.Suspects {
			if len(n.Subject) > maxSubjectBytes {
				continue
			}
			s := q.suspectOf(n.Subject, now)
			if s == nil {
				continue
			}
			isNews, contradicts := q.mergeSuspect(s, n, now)
			if isNews || contradicts {
				q.changes.Record(n.Subject, contradicts || !isLocal)
			}
		}
	})
}

// mergeSuspect adds a peer's news to a suspect. It reports whether they are new here, and
// whether they contradict what is known here. The bar of a peer holds unless an answer
// is known, which the peer may not have heard of.
func (q *Quarantine) mergeSuspect(s *suspect, n SuspectNews, now spokeclock.Millis) (isNews, contradicts bool) {
	if n.AnsweredAge > 0 {
		isNews = s.applyAnswer(now - boundedAge(n.AnsweredAge))
	}
	if answeredAt, isAnswered := q.answers(n.Subject).get(n.Subject); isAnswered {
		isNews = s.applyAnswer(answeredAt) || isNews
	}
	for _, c := range n.Crashes {
		record := crashRecord{server: c.Server, generation: c.Generation, request: c.Request, at: now - boundedAge(c.Age), answerAge: boundedAge(c.AnswerAge)}
		q.runs.add(record, now)
		isNews = s.addCrash(record, now) || isNews
	}
	if triedUntil := now + min(n.TriedFor, trialTimeout); n.TriedFor > 0 && triedUntil-s.triedUntil > trialNewsGap {
		s.triedUntil = triedUntil
		isNews = true
	}
	if s.isAnswered {
		return isNews, s.contradicts(n, now) && (n.BarredFor > 0 || s.mayTell(now))
	}
	until := now + min(n.BarredFor, barDuration)
	if n.BarredFor > 0 && (!s.isBarredAt(now) || until-s.barredUntil > spokeclock.Second) {
		s.isReported = s.isReported && s.isBarredAt(now)
		s.barUntil(until)
		isNews = true
	}
	return isNews, false
}

// contradicts reports whether a peer may bar a subject because it doesn't know of an
// answer that is known here.
func (s *suspect) contradicts(n SuspectNews, now spokeclock.Millis) bool {
	if len(n.Crashes) < s.rule.newsCrashes() {
		return false
	}
	return n.AnsweredAge == 0 || slices.ContainsFunc(n.Crashes, func(c CrashNews) bool { return now-c.Age <= s.answeredAt })
}
