package spokecore

import (
	"context"
	"sync"
	"time"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokequarantine"
)

const (
	// maxCrashDelay is the age of an answer up to which a crash of its server may be
	// due to it, as a request that crashes a server does so when the answer begins.
	maxCrashDelay = spokeclock.Second
	// crashCheckTimeout bounds the check of a server. A server that has crashed
	// refuses connections within one round trip.
	crashCheckTimeout = 250 * spokeclock.Millis(1)
	// crashCheckWait is how long a request waits for the check before it is sent to
	// another server.
	crashCheckWait = 50 * spokeclock.Millis(1)
)

// admitAttempt returns an error if the request must not be sent to a server now. It may
// make the request a trial, of which nothing is asked any more but that no bar has begun.
func (r *requestRun) admitAttempt() error {
	if r.core.Quarantine == nil || r.isTrial.Load() {
		return r.checkQuarantine()
	}
	bar, isTrial := r.core.Quarantine.Admit(r.subjects)
	r.isTrial.Store(isTrial)
	if isTrial {
		r.core.Log.Info().Str("id", r.request.ID).Str("content", r.request.ContentKey).Strs("prompt_parts", r.sharedPartKeys).Msg("Request is tried after a bar has ended.")
	}
	return barError(bar)
}

// checkQuarantine returns an error if the request or a part of its prompt is barred, or
// if another request with it is being tried.
func (r *requestRun) checkQuarantine() error {
	switch {
	case r.core.Quarantine == nil:
		return nil
	case r.isTrial.Load():
		return barError(r.core.Quarantine.FindBarred(r.subjects))
	default:
		return barError(r.core.Quarantine.Find(r.subjects))
	}
}

// endTrial lets another request be tried if no server has run this one. The result of one
// that has run is an answer, a crash, or unknown.
func (r *requestRun) endTrial() {
	if r.isTrial.Load() && r.executions.Load() == 0 {
		r.core.Quarantine.EndTrial(r.subjects)
	}
}

func barError(bar spokequarantine.Bar) error {
	if bar.Subject == "" {
		return nil
	}
	return spokeerror.Newf("check request", KindQuarantined, "%q has crashed backend servers and is barred for %d ms", bar.Subject, bar.Remaining)
}

// recordCompleteAnswer records, once, that the request has not crashed its server. If the
// answer ends with its connection, that is only certain once the server accepts
// another one.
func (r *requestRun) recordCompleteAnswer(server spokecloud.Instance) {
	if r.isAnswerRecorded {
		return
	}
	r.isAnswerRecorded = true
	switch {
	case r.core.Quarantine == nil || len(r.subjects) == 0:
	case r.isDelimited:
		r.core.recordSoundAnswer(r.service, r.subjects)
	case r.core.Registry.AcceptsRequests(server):
		r.core.checkServer(server, endedAnswer{request: r.request, isWhole: true})
	}
}

// recordBrokenAnswer records the request as a possible cause if the server that has
// broken off its answer has crashed.
func (r *requestRun) recordBrokenAnswer(server spokecloud.Instance) {
	isLate := r.answerStartedAt > 0 && r.core.Clock.Now()-r.answerStartedAt > maxCrashDelay
	if r.core.Quarantine == nil || len(r.subjects) == 0 || isLate || !r.core.Registry.AcceptsRequests(server) {
		return
	}
	r.crashCheck = r.core.checkServer(server, endedAnswer{request: r.request})
}

// awaitCrashCheck waits until it is known whether the last server has crashed, so that a
// request that is barred for it isn't sent to another one.
func (r *requestRun) awaitCrashCheck(ctx context.Context) {
	if r.crashCheck == nil {
		return
	}
	timer := time.NewTimer(crashCheckWait.Duration())
	defer timer.Stop()
	select {
	case <-r.crashCheck:
	case <-timer.C:
	case <-ctx.Done():
	}
	r.crashCheck = nil
}

// endedAnswer is an answer whose connection has ended.
type endedAnswer struct {
	request *Request
	// isWhole is false if the answer was broken off.
	isWhole bool
}

// checkServer finds out, in the background, whether a server has crashed, and records
// that for an answer that has ended with its connection. The result is closed at the end
// of the check. It is nil if the core can't check servers.
func (c *Core) checkServer(server spokecloud.Instance, answer endedAnswer) <-chan struct{} {
	if c.RefusesConnectionsFunc == nil {
		return nil
	}
	done, isFirst := c.crashChecks.add(runOf(server), answer)
	if isFirst {
		go c.runCrashCheck(server)
	}
	return done
}

func (c *Core) runCrashCheck(server spokecloud.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout.Duration())
	defer cancel()
	hasCrashed := c.RefusesConnectionsFunc(ctx, server)
	check := c.crashChecks.take(runOf(server))
	for _, answer := range check.answers {
		c.recordChecked(server, answer, hasCrashed)
	}
	close(check.done)
}

func (c *Core) recordChecked(server spokecloud.Instance, answer endedAnswer, hasCrashed bool) {
	request := answer.request
	switch {
	case hasCrashed:
		c.Log.Info().Str("id", request.ID).Str("server", server.Name).Int64("generation", server.Generation).Str("content", request.ContentKey).Strs("prompt_parts", request.sharedPartKeys()).Msg("Backend server crashed during a request.")
		c.Quarantine.RecordCrash(spokequarantine.Crash{
			Server: server.Name, Generation: server.Generation, Request: request.likeness(), Subjects: request.subjects(),
			AnswerAge: c.answerAge(c.serviceState(request.Service.Name)),
		})
	case answer.isWhole:
		c.recordSoundAnswer(c.serviceState(request.Service.Name), request.subjects())
	}
}

// recordSoundAnswer records a complete answer of a server of a service.
func (c *Core) recordSoundAnswer(service *serviceState, subjects []spokequarantine.Subject) {
	service.lastAnswerAt.Store(int64(c.Clock.Now()))
	c.Quarantine.RecordAnswer(subjects)
}

// answerAge returns the time since the last complete answer of a service, or zero if there
// was none.
func (c *Core) answerAge(service *serviceState) spokeclock.Millis {
	answeredAt := service.lastAnswerAt.Load()
	if answeredAt == 0 {
		return 0
	}
	return max(1, c.Clock.Now()-spokeclock.Millis(answeredAt))
}

// serverRun identifies one run of a server.
type serverRun struct {
	name       string
	generation int64
}

func runOf(server spokecloud.Instance) serverRun {
	return serverRun{name: server.Name, generation: server.Generation}
}

// crashChecks holds the checks of servers that are under way.
type crashChecks struct {
	mutex   sync.Mutex
	pending map[serverRun]*crashCheck
}

// crashCheck is the check of one run of a server. Done is closed at its end.
type crashCheck struct {
	answers []endedAnswer
	done    chan struct{}
}

// add adds an answer and reports whether it is the first one of its server's run.
func (c *crashChecks) add(run serverRun, answer endedAnswer) (done <-chan struct{}, isFirst bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending == nil {
		c.pending = make(map[serverRun]*crashCheck)
	}
	check, isPending := c.pending[run]
	if !isPending {
		check = &crashCheck{done: make(chan struct{})}
		c.pending[run] = check
	}
	check.answers = append(check.answers, answer)
	return check.done, !isPending
}

// take removes and returns the check of a server's run.
func (c *crashChecks) take(run serverRun) *crashCheck {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	check := c.pending[run]
	delete(c.pending, run)
	return check
}

// subjects returns what servers may crash on: the parts of the prompt that others may
// share, and the request as a whole.
func (r *Request) subjects() []spokequarantine.Subject {
	var subjects []spokequarantine.Subject
	for _, part := range r.sharedParts() {
		subjects = append(subjects, spokequarantine.Part(part.Key))
	}
	if r.ContentKey != "" {
		subjects = append(subjects, spokequarantine.Content(r.ContentKey))
	}
	return subjects
}

// likeness returns the same text for requests with the same content and prompt.
func (r *Request) likeness() string {
	if r.ContentKey == "" {
		return r.ID
	}
	likeness := r.ContentKey
	for _, part := range r.PromptParts {
		likeness += "," + part.Key
	}
	return likeness
}
