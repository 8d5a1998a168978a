// Package prompt describes what a request to a model engine costs, as far as
// it is known before the request runs. It owns no state.
package prompt

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt, in the prompt's order.
type Part struct {
	// Key stands for the part and all parts before it, since an engine keeps a
	// part only together with those.
	Key    uint64
	Tokens int64
}

// Cost is the size of one request.
type Cost struct {
	// Shared are the parts that other requests have as well.
	Shared []Part
	// Own is the number of prompt tokens outside the shared parts.
	Own int64
	// Generated is the expected number of generated tokens.
	Generated int64
}

// generatedWeight is the cost of a generated token in prompt tokens, as the
// operators' token rate counts it.
const generatedWeight = 2

// maxParts bounds the parts that are read of one prompt.
const maxParts = 64

// Prompt returns the number of all prompt tokens.
func (c Cost) Prompt() int64 {
	total := c.Own
	for _, p := range c.Shared {
		total += p.Tokens
	}
	return total
}

// Units returns the cost in the unit of the operators' token rate.
func (c Cost) Units() int64 { return c.Prompt() + generatedWeight*c.Generated }

// Affinity returns the key of the longest shared prefix, or 0.
func (c Cost) Affinity() uint64 {
	if len(c.Shared) == 0 {
		return 0
	}
	return c.Shared[len(c.Shared)-1].Key
}

// Parse reads the headers of a request: parts as ID:TOKENS entries, the last
// of which is the request's own, counts as prompt tokens and the maximum of
// generated tokens, and hint as the expected number of generated tokens.
// Unreadable values count as absent.
func Parse(parts, counts, hint string) Cost {
	var c Cost
	var key xxhash.Digest
	key.Reset()
	for i, entry := range strings.SplitN(parts, ",", maxParts) {
		id, size, ok := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, err := strconv.ParseInt(size, 10, 32)
		if !ok || err != nil || tokens < 0 {
			break
		}
		if i > 0 {
			_, _ = key.WriteString(",")
		}
		_, _ = key.WriteString(id)
		c.Shared = append(c.Shared, Part{Key: key.Sum64(), Tokens: tokens})
	}
	if n := len(c.Shared); n > 0 {
		c.Own = c.Shared[n-1].Tokens
		c.Shared = c.Shared[:n-1]
	}
	promptCount, maximum, _ := strings.Cut(counts, ",")
	if n, err := strconv.ParseInt(strings.TrimSpace(promptCount), 10, 32); err == nil && n > c.Prompt() {
		c.Own += n - c.Prompt()
	}
	c.Generated = expectedGenerated(maximum, hint)
	return c
}

func expectedGenerated(maximum, hint string) int64 {
	limit, limitErr := strconv.ParseInt(strings.TrimSpace(maximum), 10, 32)
	n, err := strconv.ParseInt(strings.TrimSpace(hint), 10, 32)
	switch {
	case err == nil && n >= 0 && limitErr == nil:
		return min(n, max(limit, 0))
	case err == nil && n >= 0:
		return n
	case limitErr == nil:
		return max(limit, 0)
	}
	return 0
}
