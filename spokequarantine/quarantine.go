package spokequarantine

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokenews"
)

const (
	// crashWindow is how long a crash counts.
	crashWindow = 60 * spokeclock.Second
	// barDuration is how long a subject is barred after its last crash. It bounds the
	// harm of one that is barred by mistake.
	barDuration = 5 * 60 * spokeclock.Second
	// shortBarDuration is the same for a subject with little evidence against it. It is
	// longer than a server takes to be back.
	shortBarDuration = 5 * spokeclock.Second
	// recentAnswer is the age of an answer up to which a crash is not put down to
	// its subjects.
	recentAnswer = 2 * spokeclock.Second

	// releaseSpread is the time over which instances end their bars of a subject, so that
	// they don't all try it again at once.
	releaseSpread = 8 * spokeclock.Second
	// trialTimeout is the time in which a request that is tried again is known to have
	// crashed its server. Requests do so when their answers begin, for which they may wait.
	trialTimeout = 3 * spokeclock.Second
	// probation is the time after a bar in which an instance tries one request at a time.
	probation = 60 * spokeclock.Second

	maxSuspects     = 256
	maxCrashes      = 16
	maxSubjectBytes = 128
)

// Crash is a crash of a backend server while it had a request.
type Crash struct {
	// Server and Request identify the server and the request. Requests that are alike
	// have the same identity.
	Server  string
	Request string
	// Generation distinguishes the runs of a server. Zero means that it is not known.
	Generation int64
	// AnswerAge is the time since this process last had a complete answer of the server's
	// service, or zero if it had none.
	AnswerAge spokeclock.Millis
	// Subjects are the parts of the request's prompt that other requests may share, and
	// its content.
	Subjects []Subject
}

// Bar is the refusal of the requests with a subject.
type Bar struct {
	// Subject is what is barred. It is empty if nothing is.
	Subject Subject
	// Remaining is the time until the end of the bar.
	Remaining spokeclock.Millis
}

// Quarantine keeps the suspects. Set its fields before the first call. It
// is safe for concurrent use.
type Quarantine struct {
	// InstanceName is the name of this instance. When it ends a bar depends on it.
	InstanceName string
	// Clock is the time source. Nil means the system clock.
	Clock *spokeclock.Clock
	// ChangedFunc is called when there is news for peers. It may be nil.
	ChangedFunc func()
	// BarChangedFunc is called when a subject is barred, with the number of its crashes that
	// count and of the servers that crashed, or free again because an answer was complete. It
	// may be nil.
	BarChangedFunc func(subject Subject, isBarred bool, crashes, servers int)

	mutex    sync.Mutex
	suspects map[Subject]*suspect
	// partAnswers and requestAnswers are the last complete answers.
	partAnswers    answerMemory
	requestAnswers answerMemory
	// runs are the runs of servers that have crashed.
	runs runMemory
	// changes has the changes of the suspects.
	changes spokenews.Log[Subject]
}

// suspect is a subject under which servers have crashed.
type suspect struct {
	rule rule
	// crashes are those since the last known answer, the earliest first.
	crashes []crashRecord
	// isAnswered is whether an answer is known that was complete, and answeredAt when
	// the last one was.
	isAnswered bool
	answeredAt spokeclock.Millis
	// isBarred is whether a bar has begun that no answer has lifted. It ends for all at
	// barredUntil, and at this instance releaseDelay later.
	isBarred     bool
	barredUntil  spokeclock.Millis
	releaseDelay spokeclock.Millis
	// triedUntil is when the result of the last trial, here or at a peer, is known.
	triedUntil spokeclock.Millis
	// isReported is whether BarChangedFunc was called for the present bar.
	isReported bool
	// isTold is whether peers were told of an answer, and toldAt when they last were.
	isTold bool
	toldAt spokeclock.Millis
}

// crashRecord is one crash. The server and the request are hashes. The generation is zero if
// the run of the server is not known.
type crashRecord struct {
	server     uint32
	generation int64
	request    uint32
	at         spokeclock.Millis
	// answerAge is that of the last answer of the server's service at the crash, or zero if
	// none is known.
	answerAge spokeclock.Millis
}

// isLike reports whether two crashes are of one server under one request.
func (c crashRecord) isLike(other crashRecord) bool {
	return c.server == other.server && c.request == other.request
}

// RecordCrash records a crash that this process has seen.
func (q *Quarantine) RecordCrash(crash Crash) {
	now := q.Clock.Now()
	record := crashRecord{server: hashOf(crash.Server), generation: crash.Generation, request: hashOf(crash.Request), at: now, answerAge: crash.AnswerAge}
	q.update(func() {
		q.runs.add(record, now)
		for _, subject := range crash.Subjects {
			answeredAt, isAnswered := q.answers(subject).get(subject)
			if len(subject) > maxSubjectBytes || (isAnswered && now-answeredAt <= recentAnswer) {
				continue
			}
			if s := q.suspectOf(subject, now); s != nil && s.addCrash(record, now) {
				q.changes.Record(subject, true)
			}
		}
	})
}

// RecordAnswer records that a server has answered a request with the subjects
// completely.
func (q *Quarantine) RecordAnswer(subjects []Subject) {
	now := q.Clock.Now()
	q.update(func() {
		for _, subject := range subjects {
			if len(subject) > maxSubjectBytes {
				continue
			}
			q.answers(subject).set(subject, now)
			s := q.suspects[subject]
			if s == nil {
				continue
			}
			wasHeld := s.isBarredAt(now) || s.isOnProbationAt(now)
			if s.applyAnswer(now) && (wasHeld || s.mayTell(now)) {
				q.changes.Record(subject, true)
			}
		}
	})
}

// Find returns the bar of the first subject that is barred or being tried.
func (q *Quarantine) Find(subjects []Subject) Bar {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.find(subjects, q.Clock.Now())
}

func (q *Quarantine) find(subjects []Subject, now spokeclock.Millis) Bar {
	if bar := q.findBarred(subjects, now); bar.Subject != "" {
		return bar
	}
	return q.findTried(subjects, now)
}

// FindBarred returns the bar of the first barred subject. A trial asks it before it is
// sent to another server.
func (q *Quarantine) FindBarred(subjects []Subject) Bar {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.findBarred(subjects, q.Clock.Now())
}

func (q *Quarantine) findBarred(subjects []Subject, now spokeclock.Millis) Bar {
	for _, subject := range subjects {
		if s := q.suspects[subject]; s != nil && s.isBarredAt(now) {
			return Bar{Subject: subject, Remaining: s.releaseAt() - now}
		}
	}
	return Bar{}
}

func (q *Quarantine) findTried(subjects []Subject, now spokeclock.Millis) Bar {
	for _, subject := range subjects {
		if s := q.suspects[subject]; s != nil && s.isOnProbationAt(now) && now < s.triedUntil {
			return Bar{Subject: subject, Remaining: s.triedUntil - now}
		}
	}
	return Bar{}
}

// Admit returns the bar that keeps a request from being sent now. Without one, it reports
// whether the request is a trial: a bar of one of its subjects has ended, and no other
// request with that subject is admitted until the result is known, here or at peers that
// have heard of it.
func (q *Quarantine) Admit(subjects []Subject) (bar Bar, isTrial bool) {
	q.update(func() {
		now := q.Clock.Now()
		if bar = q.find(subjects, now); bar.Subject != "" {
			return
		}
		for _, subject := range subjects {
			if s := q.suspects[subject]; s != nil && s.isOnProbationAt(now) {
				s.triedUntil = now + trialTimeout
				isTrial = true
				q.changes.Record(subject, true)
			}
		}
	})
	return bar, isTrial
}

// EndTrial ends the trial of a request that no server has run.
func (q *Quarantine) EndTrial(subjects []Subject) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.Clock.Now()
	for _, subject := range subjects {
		if s := q.suspects[subject]; s != nil {
			s.triedUntil = min(s.triedUntil, now)
		}
	}
}

// BarredCounts returns the number of barred parts of prompts and of barred requests.
func (q *Quarantine) BarredCounts() (parts, requests int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.Clock.Now()
	for subject, s := range q.suspects {
		_, isContent := subject.ContentKey()
		switch {
		case !s.isBarredAt(now):
		case isContent:
			requests++
		default:
			parts++
		}
	}
	return parts, requests
}

// update runs changeFunc with the mutex held, bars the subjects with enough crashes,
// and reports what has changed.
func (q *Quarantine) update(changeFunc func()) {
	q.mutex.Lock()
	before := q.changes.Last()
	if q.suspects == nil {
		q.suspects = make(map[Subject]*suspect)
	}
	changeFunc()
	hasChanged := q.changes.Last() != before
	var changes []barChange
	if hasChanged {
		changes = q.updateBars(before)
	}
	q.mutex.Unlock()
	for _, change := range changes {
		if q.BarChangedFunc != nil {
			q.BarChangedFunc(change.subject, change.isBarred, change.evidence.crashes, change.evidence.servers)
		}
	}
	if hasChanged && q.ChangedFunc != nil {
		q.ChangedFunc()
	}
}

// barChange is the beginning or the end of a bar.
type barChange struct {
	subject  Subject
	isBarred bool
	evidence evidence
}

// updateBars bars the subjects with enough crashes among those that have changed after a
// sequence number, and returns the bars that have begun or were lifted.
func (q *Quarantine) updateBars(after int64) []barChange {
	now := q.Clock.Now()
	var changes []barChange
	for subject, s := range q.suspects {
		if !q.changes.ChangedSince(subject, after) {
			continue
		}
		evidence := s.evidence(&q.runs)
		s.bar(evidence)
		if isBarred := s.isBarredAt(now); isBarred != s.isReported {
			s.isReported = isBarred
			changes = append(changes, barChange{subject: subject, isBarred: isBarred, evidence: evidence})
		}
	}
	return changes
}

// suspectOf returns the suspect of a subject. It adds it if there is room after the
// outdated ones are removed, and otherwise returns nil.
func (q *Quarantine) suspectOf(subject Subject, now spokeclock.Millis) *suspect {
	if s := q.suspects[subject]; s != nil {
		return s
	}
	if len(q.suspects) >= maxSuspects {
		q.removeOutdated(now)
	}
	if len(q.suspects) >= maxSuspects {
		return nil
	}
	s := &suspect{rule: subject.rule(), releaseDelay: q.releaseDelay(subject)}
	s.answeredAt, s.isAnswered = q.answers(subject).get(subject)
	q.suspects[subject] = s
	return s
}

// releaseDelay returns how much later than the first instance this one ends a bar of a
// subject. Few instances end it early, so that hardly any two have a trial before they hear
// of each other's: the later of two equally distributed times decides.
func (q *Quarantine) releaseDelay(subject Subject) spokeclock.Millis {
	const half = 16
	hash := hashOf(q.InstanceName + " " + string(subject))
	later := max(hash>>half, hash&(1<<half-1))
	return spokeclock.Millis(later) * releaseSpread >> half
}

// removeOutdated removes the suspects without a bar that had no crash lately. If
// there are none, it removes the one whose only crash is the oldest.
func (q *Quarantine) removeOutdated(now spokeclock.Millis) {
	var oldest Subject
	oldestAt := now
	removed := 0
	for subject, s := range q.suspects {
		if s.isBarredAt(now) || s.isOnProbationAt(now) {
			continue
		}
		last := s.lastCrashAt()
		if len(s.crashes) == 0 || now-last > crashWindow {
			q.removeSuspect(subject)
			removed++
			continue
		}
		if len(s.crashes) == 1 && last < oldestAt {
			oldest, oldestAt = subject, last
		}
	}
	if removed == 0 {
		q.removeSuspect(oldest)
	}
}

func (q *Quarantine) removeSuspect(subject Subject) {
	delete(q.suspects, subject)
	q.changes.Forget(subject)
}

// answers returns the memory of the answers to subjects of one kind. Requests are many and
// must not displace the parts of prompts.
func (q *Quarantine) answers(subject Subject) *answerMemory {
	if _, isContent := subject.ContentKey(); isContent {
		return &q.requestAnswers
	}
	return &q.partAnswers
}

// addCrash adds a crash unless it is known, older than an answer or soon after one, and
// reports whether it did.
func (s *suspect) addCrash(record crashRecord, now spokeclock.Millis) bool {
	if s.isAnswered && (record.at <= s.answeredAt || now-s.answeredAt <= recentAnswer) {
		return false
	}
	isKnown := func(c crashRecord) bool {
		return c.isLike(record) && (record.generation == 0 || record.generation == c.generation)
	}
	if slices.ContainsFunc(s.crashes, isKnown) {
		return false
	}
	// A run that is not known may be this one.
	s.crashes = slices.DeleteFunc(s.crashes, func(c crashRecord) bool { return c.isLike(record) && c.generation == 0 })
	s.crashes = append(s.crashes, record)
	slices.SortFunc(s.crashes, func(a, b crashRecord) int { return cmp.Compare(a.at, b.at) })
	s.dropCrash()
	return true
}

// applyAnswer clears the crashes before an answer and the bar. It reports whether
// peers should learn of that, as the subject was near a bar.
func (s *suspect) applyAnswer(at spokeclock.Millis) bool {
	if s.isAnswered && at <= s.answeredAt {
		return false
	}
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crashRecord) bool { return c.at <= at })
	isNews := s.isBarred || before-len(s.crashes) >= s.rule.newsCrashes()
	s.isAnswered, s.answeredAt, s.isBarred = true, at, false
	return isNews
}

// mayTell reports whether peers are told of an answer now, at most once within
// recentAnswer, and records that they are.
func (s *suspect) mayTell(now spokeclock.Millis) bool {
	if s.isTold && now-s.toldAt <= recentAnswer {
		return false
	}
	s.isTold, s.toldAt = true, now
	return true
}

// bar bars the subject if there is enough evidence.
func (s *suspect) bar(evidence evidence) {
	needed := s.rule.minCrashes
	if s.isAnswered {
		needed = s.rule.minCrashesAnswered
	}
	last := s.lastCrashAt()
	if s.isBarred && last >= s.barredUntil {
		s.isReported = false
	}
	switch {
	case s.isBarred && last >= s.barredUntil && last < s.barredUntil+releaseSpread+probation:
		// A trial has crashed its server. The crashes before the bar may be too old to
		// count.
		s.barUntil(last + barDuration)
	case evidence.proves(max(needed, s.rule.minCrashesFirm)):
		s.barUntil(last + barDuration)
	case evidence.proves(needed):
		s.barUntil(last + shortBarDuration)
	}
}

// releaseAt returns when the bar ends at this instance.
func (s *suspect) releaseAt() spokeclock.Millis { return s.barredUntil + s.releaseDelay }

func (s *suspect) isBarredAt(now spokeclock.Millis) bool { return s.isBarred && now < s.releaseAt() }

// isOnProbationAt reports whether the bar has ended by its time, and no answer has shown yet
// that the subject is harmless.
func (s *suspect) isOnProbationAt(now spokeclock.Millis) bool {
	return s.isBarred && now >= s.releaseAt() && now < s.releaseAt()+probation
}

// barUntil bars the subject until a time, or leaves a bar that ends later.
func (s *suspect) barUntil(until spokeclock.Millis) {
	if !s.isBarred || until > s.barredUntil {
		s.isBarred, s.barredUntil = true, until
	}
}

// lastCrashAt returns the time of the last crash, or zero if there is none.
func (s *suspect) lastCrashAt() spokeclock.Millis {
	if len(s.crashes) == 0 {
		return 0
	}
	return s.crashes[len(s.crashes)-1].at
}

func hashOf(name string) uint32 {
	return uint32(xxhash.Sum64String(name)) //nolint:gosec // The low bits of a hash are enough here.
}
