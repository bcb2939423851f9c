package spokestandin

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokeengine"
)

const maxAttemptCaches = 256

// prefixCache is a least-recently-used cache of conversation prefixes, which
// are identified by their hashes.
type prefixCache struct {
	maxPrefixes int
	recent      []uint64
}

func newPrefixCache(maxPrefixes int) *prefixCache {
	return &prefixCache{maxPrefixes: maxPrefixes}
}

// lookUpAndInsert returns the number of tokens in the longest cached prefix of
// a conversation, and caches all its prefixes. It calls recordEvent for each
// prefix that it adds or drops.
func (c *prefixCache) lookUpAndInsert(messages []spokeengine.Message, recordEvent func(prefix uint64, dropped bool)) int {
	cachedTokens := 0
	for i := range messages {
		prompt := JoinPrompt(messages[:i+1])
		prefix := xxhash.Sum64String(prompt)
		index := slices.Index(c.recent, prefix)
		if index >= 0 {
			cachedTokens = promptTokens(prompt)
			c.recent = slices.Delete(c.recent, index, index+1)
		} else {
			recordEvent(prefix, false)
		}
		c.recent = append(c.recent, prefix)
	}
	for len(c.recent) > c.maxPrefixes {
		recordEvent(c.recent[0], true)
		c.recent = c.recent[1:]
	}
	return cachedTokens
}

// attemptCache holds the number of tokens in the KV cache of each attempt.
// Beyond maxAttemptCaches it drops the attempt that was added first.
type attemptCache struct {
	tokens         map[string]int
	insertionOrder []string
}

func newAttemptCache() *attemptCache {
	return &attemptCache{tokens: make(map[string]int)}
}

func (c *attemptCache) setTokens(attempt string, tokens int) {
	if _, exists := c.tokens[attempt]; !exists {
		c.insertionOrder = append(c.insertionOrder, attempt)
	}
	c.tokens[attempt] = tokens
	if len(c.insertionOrder) > maxAttemptCaches {
		delete(c.tokens, c.insertionOrder[0])
		c.insertionOrder = c.insertionOrder[1:]
	}
}

func (c *attemptCache) tokenCount(attempt string) int {
	return c.tokens[attempt]
}
