package spokeengine

import "mulberryspoke.example/mulberryspoke/spokeclock"

// Message is one message of a conversation.
type Message struct {
	// Role is the role of the author, such as "user".
	Role string `json:"role"`
	// Content is the text of the message.
	Content string `json:"content"`
}

// GenerateRequest asks an engine to stream an answer.
type GenerateRequest struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Messages is the conversation.
	Messages []Message `json:"messages"`
	// MaxTokens is the maximum length of the answer in tokens.
	MaxTokens int `json:"max_tokens"`
	// Priority orders waiting requests, greatest first.
	Priority int `json:"priority"`
	// AttemptID identifies the attempt. Every event must carry the same ID.
	AttemptID string `json:"attempt"`
	// DeliveredTokens are the tokens that the caller already has. The answer
	// resumes after them.
	DeliveredTokens []string `json:"resume,omitempty"`
	// CacheAttemptID identifies the attempt whose KV cache was imported and is to
	// be used. It is empty if none was.
	CacheAttemptID string `json:"moved_from,omitempty"`
}

// Event is one token of an answer, or its end.
type Event struct {
	// AttemptID identifies the attempt that the event belongs to.
	AttemptID string `json:"attempt"`
	// Index is the position of the token in the complete answer, from zero.
	Index int `json:"index"`
	// Token is the text of the token.
	Token string `json:"token,omitempty"`
	// FinishReason is the reason for the end of the answer. It is empty for a
	// token.
	FinishReason string `json:"finish,omitempty"`
	// ComputedTokens is the number of tokens of the prompt and the earlier answer
	// that the engine had to compute for this attempt. Only the first event
	// carries it.
	ComputedTokens int `json:"computed,omitempty"`
}

// Load is an engine's load report, which lags behind its actual load.
type Load struct {
	// Slots is the number of requests that can run at once.
	Slots int `json:"slots"`
	// Running is the number of requests that are running.
	Running int `json:"running"`
	// Waiting is the number of requests that wait for a slot.
	Waiting int `json:"waiting"`
	// Age is the age of the report.
	Age spokeclock.Millis `json:"age_millis"`
	// WorkTime is how long work takes at this moment, in percent of what is usual. Zero
	// means that it is not known.
	WorkTime int `json:"work_time_percent,omitempty"`
}

// CacheMoveRequest asks an engine to import the KV cache of an attempt from
// another engine.
type CacheMoveRequest struct {
	// AttemptID identifies the attempt whose cache is moved.
	AttemptID string `json:"attempt"`
	// Source is the base URL of the engine that has the cache.
	Source string `json:"source"`
}

// KVCache is an exported KV cache.
type KVCache struct {
	// AttemptID identifies the attempt that the cache belongs to.
	AttemptID string `json:"attempt"`
	// Tokens is the number of tokens in the cache.
	Tokens int `json:"tokens"`
	// Content is the data of the cache.
	Content string `json:"content"`
}

// Order tells an engine which model or adapter to load or which role to assume.
type Order struct {
	// Action is "load_model", "load_adapter" or "set_role".
	Action string `json:"action"`
	// Name is the name of the model, adapter or role.
	Name string `json:"name"`
	// FencingNumber is the fencing number of the lease under which the order is
	// sent.
	FencingNumber int64 `json:"fence"`
}

// CacheEvent reports that an engine added or dropped a cached prefix.
type CacheEvent struct {
	// Sequence is the sequence number of the event. A missing number means that
	// events were lost.
	Sequence int64 `json:"sequence"`
	// Prefix is the hash of the prefix.
	Prefix uint64 `json:"prefix"`
	// Dropped is true if the prefix was dropped.
	Dropped bool `json:"dropped"`
}
