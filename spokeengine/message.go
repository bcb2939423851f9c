package spokeengine

import "mulberryspoke.example/mulberryspoke/spokeclock"

// Message is one turn of a conversation.
type Message struct {
	// Role is who speaks.
	Role string `json:"role"`
	// Content is what is said.
	Content string `json:"content"`
}

// GenerateRequest asks an engine for an answer as a stream of events.
type GenerateRequest struct {
	// Model names the model.
	Model string `json:"model"`
	// Messages are the conversation.
	Messages []Message `json:"messages"`
	// MaxTokens bounds the answer.
	MaxTokens int `json:"max_tokens"`
	// Priority orders waiting requests; a greater one goes first.
	Priority int `json:"priority"`
	// AttemptID is the identity that every event must carry back.
	AttemptID string `json:"attempt"`
	// DeliveredTokens holds the tokens already delivered, from which to go on.
	DeliveredTokens []string `json:"resume,omitempty"`
	// CacheAttemptID is the attempt whose imported KV cache is to be used.
	CacheAttemptID string `json:"moved_from,omitempty"`
}

// Event is one token of an answer, or its end.
type Event struct {
	// AttemptID is the attempt that the event belongs to.
	AttemptID string `json:"attempt"`
	// Index is the token's place in the whole answer, from zero.
	Index int `json:"index"`
	// Token is the token's text.
	Token string `json:"token,omitempty"`
	// FinishReason is why the answer ended; empty while it goes on.
	FinishReason string `json:"finish,omitempty"`
	// ComputedTokens is how many tokens of prompt and earlier answer the engine had
	// to compute for this attempt. It stands in the first event.
	ComputedTokens int `json:"computed,omitempty"`
}

// Load is an engine's report of itself, which lags.
type Load struct {
	// Slots is how many requests run at once.
	Slots int `json:"slots"`
	// Running is how many are running.
	Running int `json:"running"`
	// Waiting is how many wait for a slot.
	Waiting int `json:"waiting"`
	// Age is how old the report is.
	Age spokeclock.Millis `json:"age_millis"`
}

// CacheMoveRequest tells an engine to fetch an attempt's KV cache from another.
type CacheMoveRequest struct {
	// AttemptID is the attempt whose cache moves.
	AttemptID string `json:"attempt"`
	// Source is the URL of the engine that holds it.
	Source string `json:"source"`
}

// KVCache is an exported KV cache.
type KVCache struct {
	// AttemptID is the attempt that it belongs to.
	AttemptID string `json:"attempt"`
	// Tokens is how many tokens it covers.
	Tokens int `json:"tokens"`
	// Content is the cache itself.
	Content string `json:"content"`
}

// Order tells an engine what to load or which role to take.
type Order struct {
	// Action is "load_model", "load_adapter" or "set_role".
	Action string `json:"action"`
	// Name is the model, adapter or role.
	Name string `json:"name"`
	// FencingNumber is the fencing number of who gives the order.
	FencingNumber int64 `json:"fence"`
}

// CacheEvent tells that an engine took up or dropped a cached prefix.
type CacheEvent struct {
	// Sequence numbers the events; a missing number is a gap.
	Sequence int64 `json:"sequence"`
	// Prefix is the hash of the prefix.
	Prefix uint64 `json:"prefix"`
	// Dropped says that the prefix is gone.
	Dropped bool `json:"dropped"`
}
