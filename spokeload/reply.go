package spokeload

import (
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// Verdict is what became of a request.
type Verdict string

const (
	// VerdictComplete is the whole right answer.
	VerdictComplete Verdict = "whole"
	// VerdictRefused is a truthful refusal.
	VerdictRefused Verdict = "refused"
	// VerdictIncomplete is an answer that broke off and said so.
	VerdictIncomplete Verdict = "incomplete"
	// VerdictOutcomeUnknown is a refusal that leaves open whether the request ran.
	VerdictOutcomeUnknown Verdict = "outcome_unknown"
	// VerdictLost is no answer at all, or one that cannot be read.
	VerdictLost Verdict = "lost"
	// VerdictTruncated is an answer that looks whole and is too short.
	VerdictTruncated Verdict = "cut_short"
	// VerdictWrongAnswer is an answer to something else.
	VerdictWrongAnswer Verdict = "crossed"
	// VerdictTooLong is an answer with more than was asked for.
	VerdictTooLong Verdict = "doubled"
)

// RequestResult is what became of one request, and when.
type RequestResult struct {
	number  int
	kind    string
	phase   int
	verdict Verdict
	detail  string
	first   spokeclock.Millis
	whole   spokeclock.Millis
	gaps    []spokeclock.Millis
	tries   int
	text    string
	body    string
	scope   string
}

// Verdict returns what became of the request.
func (r *RequestResult) Verdict() Verdict { return r.verdict }

// Detail returns the refusal's kind or what was wrong.
func (r *RequestResult) Detail() string { return r.detail }

// Kind returns the name of the request's kind.
func (r *RequestResult) Kind() string { return r.kind }

// AnswerText returns the beginning of the answer.
func (r *RequestResult) AnswerText() string { return r.text }

// BookingBody returns the body of a booking, by which its runs are counted.
func (r *RequestResult) BookingBody() string { return r.body }

// IsRequestScoped reports whether a refusal speaks of the whole request and not
// of its last attempt only.
func (r *RequestResult) IsRequestScoped() bool { return r.scope == "request" }

// FirstTokenLatency returns the time to the first token, from the intended start.
func (r *RequestResult) FirstTokenLatency() spokeclock.Millis { return r.first }

// TotalLatency returns the time to the end, from the intended start.
func (r *RequestResult) TotalLatency() spokeclock.Millis { return r.whole }

func (r *RequestResult) set(verdict Verdict, detail string) {
	r.verdict = verdict
	r.detail = detail
}

// judge compares an answer to the one that the prompt has.
func (r *RequestResult) judge(j job, content string) {
	prompt := spokestandin.JoinPrompt(messages(j))
	var expected strings.Builder
	for i := range j.kind.AnswerTokens {
		expected.WriteString(spokestandin.TokenAt(prompt, i))
	}
	r.text = content
	switch want := expected.String(); {
	case content == want:
		r.set(VerdictComplete, "")
	case strings.HasPrefix(want, content):
		r.set(VerdictTruncated, "too few tokens")
	case len(content) > len(want):
		r.set(VerdictTooLong, "too many tokens")
	default:
		r.set(VerdictWrongAnswer, "other tokens")
	}
}
