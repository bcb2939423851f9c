package spokestandin

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokeengine"
)

const attemptCaches = 256

// prefixCache remembers the conversations computed last, by the hash of each
// beginning.
type prefixCache struct {
	limit  int
	recent []uint64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit}
}

// take returns how many tokens of a conversation are cached, and caches all
// its beginnings.
func (c *prefixCache) take(messages []spokeengine.Message, note func(prefix uint64, dropped bool)) int {
	covered := 0
	for i := range messages {
		prompt := JoinPrompt(messages[:i+1])
		prefix := xxhash.Sum64String(prompt)
		at := slices.Index(c.recent, prefix)
		if at >= 0 {
			covered = promptTokens(prompt)
			c.recent = slices.Delete(c.recent, at, at+1)
		} else {
			note(prefix, false)
		}
		c.recent = append(c.recent, prefix)
	}
	for len(c.recent) > c.limit {
		note(c.recent[0], true)
		c.recent = c.recent[1:]
	}
	return covered
}

// attemptCache remembers how many tokens of an attempt the KV cache covers.
type attemptCache struct {
	tokens map[string]int
	order  []string
}

func newAttemptCache() *attemptCache {
	return &attemptCache{tokens: make(map[string]int)}
}

func (c *attemptCache) put(attempt string, tokens int) {
	if _, known := c.tokens[attempt]; !known {
		c.order = append(c.order, attempt)
	}
	c.tokens[attempt] = tokens
	if len(c.order) > attemptCaches {
		delete(c.tokens, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *attemptCache) get(attempt string) int {
	return c.tokens[attempt]
}
