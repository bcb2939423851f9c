package spokeload

import (
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// Verdict classifies the result of a request.
type Verdict string

const (
	// VerdictComplete means that the answer is complete and correct.
	VerdictComplete Verdict = "whole"
	// VerdictRefused means a valid error response that reports neither an
	// incomplete answer nor an unknown outcome.
	VerdictRefused Verdict = "refused"
	// VerdictIncomplete means that the answer ended early with an error that says
	// so.
	VerdictIncomplete Verdict = "incomplete"
	// VerdictOutcomeUnknown means an error response after which the request may or
	// may not have been executed.
	VerdictOutcomeUnknown Verdict = "outcome_unknown"
	// VerdictLost means no response, an interrupted one or one that can't be
	// parsed.
	VerdictLost Verdict = "lost"
	// VerdictTruncated means that the answer is too short although no error was
	// reported.
	VerdictTruncated Verdict = "cut_short"
	// VerdictWrongAnswer means that the answer doesn't belong to the request.
	VerdictWrongAnswer Verdict = "crossed"
	// VerdictTooLong means that the answer is longer than requested.
	VerdictTooLong Verdict = "doubled"
)

// RequestResult is the result of one request after its last try.
type RequestResult struct {
	number            int
	kind              string
	phase             int
	verdict           Verdict
	detail            string
	firstTokenLatency spokeclock.Millis
	totalLatency      spokeclock.Millis
	tokenGaps         []spokeclock.Millis
	tries             int
	answerText        string
	bookingBody       string
	scope             string
}

// Verdict returns the classification of the result.
func (r *RequestResult) Verdict() Verdict { return r.verdict }

// Detail returns the type of an error response or a description of the fault. It
// is empty for a complete answer.
func (r *RequestResult) Detail() string { return r.detail }

// Kind returns the name of the request's kind.
func (r *RequestResult) Kind() string { return r.kind }

// AnswerText returns the content of a chat answer, or which server confirmed a
// request to a plain service.
func (r *RequestResult) AnswerText() string { return r.answerText }

// BookingBody returns the request body of a booking, which identifies it when
// the executions are counted. It is empty for other requests.
func (r *RequestResult) BookingBody() string { return r.bookingBody }

// IsRequestScoped reports whether a refusal applies to the whole request and not
// only to its last attempt.
func (r *RequestResult) IsRequestScoped() bool { return r.scope == "request" }

// FirstTokenLatency returns the time from the intended start to the first token.
func (r *RequestResult) FirstTokenLatency() spokeclock.Millis { return r.firstTokenLatency }

// TotalLatency returns the time from the intended start to the end of the answer.
func (r *RequestResult) TotalLatency() spokeclock.Millis { return r.totalLatency }

// setVerdict records the verdict. Reports count results by detail, so the texts
// of details have to stay the same.
func (r *RequestResult) setVerdict(verdict Verdict, detail string) {
	r.verdict = verdict
	r.detail = detail
}

// checkAnswer compares an answer with the one that the stand-in engine generates
// for the prompt.
func (r *RequestResult) checkAnswer(request scheduledRequest, content string) {
	prompt := spokestandin.JoinPrompt(chatMessages(request))
	var expected strings.Builder
	for i := range request.kind.AnswerTokens {
		expected.WriteString(spokestandin.TokenAt(prompt, i))
	}
	r.answerText = content
	switch want := expected.String(); {
	case content == want:
		r.setVerdict(VerdictComplete, "")
	case strings.HasPrefix(want, content):
		r.setVerdict(VerdictTruncated, "too few tokens")
	case len(content) > len(want):
		r.setVerdict(VerdictTooLong, "too many tokens")
	default:
		r.setVerdict(VerdictWrongAnswer, "other tokens")
	}
}
