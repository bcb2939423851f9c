package spokeload

import (
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// Verdict is what became of a request.
type Verdict string

const (
	// VerdictWhole is the whole right answer.
	VerdictWhole Verdict = "whole"
	// VerdictRefused is a truthful refusal.
	VerdictRefused Verdict = "refused"
	// VerdictIncomplete is an answer that broke off and said so.
	VerdictIncomplete Verdict = "incomplete"
	// VerdictUnknown is a refusal that leaves open whether the request ran.
	VerdictUnknown Verdict = "outcome_unknown"
	// VerdictLost is no answer at all, or one that cannot be read.
	VerdictLost Verdict = "lost"
	// VerdictCut is an answer that looks whole and is too short.
	VerdictCut Verdict = "cut_short"
	// VerdictCrossed is an answer to something else.
	VerdictCrossed Verdict = "crossed"
	// VerdictDoubled is an answer with more than was asked for.
	VerdictDoubled Verdict = "doubled"
)

// Reply is what became of one request, and when.
type Reply struct {
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
func (r *Reply) Verdict() Verdict { return r.verdict }

// Detail returns the refusal's kind or what was wrong.
func (r *Reply) Detail() string { return r.detail }

// Kind returns the name of the request's kind.
func (r *Reply) Kind() string { return r.kind }

// Text returns the beginning of the answer.
func (r *Reply) Text() string { return r.text }

// Body returns the body of a booking, by which its runs are counted.
func (r *Reply) Body() string { return r.body }

// RequestScope reports whether a refusal speaks of the whole request and not
// of its last attempt only.
func (r *Reply) RequestScope() bool { return r.scope == "request" }

// First returns the time to the first token, from the intended start.
func (r *Reply) First() spokeclock.Millis { return r.first }

// Whole returns the time to the end, from the intended start.
func (r *Reply) Whole() spokeclock.Millis { return r.whole }

func (r *Reply) set(verdict Verdict, detail string) {
	r.verdict = verdict
	r.detail = detail
}

// judge compares an answer to the one that the prompt has.
func (r *Reply) judge(j job, content string) {
	prompt := spokestandin.JoinPrompt(messages(j))
	var expected strings.Builder
	for i := range j.kind.Tokens {
		expected.WriteString(spokestandin.TokenAt(prompt, i))
	}
	r.text = content
	switch want := expected.String(); {
	case content == want:
		r.set(VerdictWhole, "")
	case strings.HasPrefix(want, content):
		r.set(VerdictCut, "too few tokens")
	case len(content) > len(want):
		r.set(VerdictDoubled, "too many tokens")
	default:
		r.set(VerdictCrossed, "other tokens")
	}
}
