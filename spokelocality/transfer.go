package spokelocality

import "mulberryspoke.example/mulberryspoke/spokeclock"

const (
	// transferWeight is the weight of the latest request in a kind's averages.
	transferWeight = 0.05
	// defaultBytes is the size of a request and its answer before any was measured.
	defaultBytes = 20e3
	megabyte     = 1e6
	// maxKinds bounds the kinds of requests that are told apart.
	maxKinds = 1024
)

// Kind describes a request as far as the cost of leaving depends on it.
type Kind struct {
	// Route is the name of its route.
	Route string
	// RequestBytes is the size of its body. Zero means unknown.
	RequestBytes int
	// FirstEventTarget is the time within which its first event is due. Zero means that
	// there is no such time.
	FirstEventTarget spokeclock.Millis
	// Work is the time, in milliseconds, for which it keeps a server busy, and PrefillWork
	// the part of that before its first token. Zero means unknown.
	Work, PrefillWork float64
	// PromptTokens and SharedPrefixTokens are the length of its prompt and of the prefix
	// that the prompt shares with others, and PrefixKey is the key of that prefix. A zero
	// key means that there is none.
	PromptTokens       int
	SharedPrefixTokens int
	PrefixKey          uint64
}

// transfer has the average sizes of a kind of requests, in bytes.
type transfer struct {
	requests, answers         int
	requestBytes, answerBytes float64
}

// average moves an average towards a value. The first values weigh more.
func average(current *float64, count int, value float64) {
	*current += max(transferWeight, 1/float64(count)) * (value - *current)
}

func (t *transfer) recordRequest(bytes int) {
	if bytes > 0 {
		t.requests++
		average(&t.requestBytes, t.requests, float64(bytes))
	}
}

func (t *transfer) recordAnswer(bytes int) {
	t.answers++
	average(&t.answerBytes, t.answers, float64(bytes))
}

// bytes returns the expected size of a request and its answer.
func (t *transfer) bytes(requestBytes int) float64 {
	request := float64(requestBytes)
	if requestBytes <= 0 {
		request = t.requestBytes
	}
	if t.answers == 0 {
		return max(defaultBytes, request)
	}
	return request + t.answerBytes
}
