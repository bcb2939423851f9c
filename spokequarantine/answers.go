package spokequarantine

import "mulberryspoke.example/mulberryspoke/spokeclock"

const (
	// answerRetention is how long a complete answer is remembered at least, unless there
	// are more than maxAnswers.
	answerRetention = 60 * spokeclock.Second
	maxAnswers      = 8192
)

// answerMemory remembers when the last answer with a subject was complete. The zero value
// is ready to use.
type answerMemory struct {
	// current has the answers since startedAt, previous those of the period before.
	current   map[Subject]spokeclock.Millis
	previous  map[Subject]spokeclock.Millis
	startedAt spokeclock.Millis
}

func (m *answerMemory) set(subject Subject, at spokeclock.Millis) {
	if m.current == nil || len(m.current) >= maxAnswers || at-m.startedAt >= answerRetention {
		m.previous, m.current, m.startedAt = m.current, make(map[Subject]spokeclock.Millis), at
	}
	m.current[subject] = at
}

func (m *answerMemory) get(subject Subject) (at spokeclock.Millis, isKnown bool) {
	if at, isKnown = m.current[subject]; isKnown {
		return at, true
	}
	at, isKnown = m.previous[subject]
	return at, isKnown
}
