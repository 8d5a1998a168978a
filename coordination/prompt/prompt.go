// Package prompt computes the cost of a request to a model engine, as far as it
// is known before the request runs. It holds no state.
package prompt

import (
	"iter"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt.
type Part struct {
	// Key identifies the part together with all parts before it, because an
	// engine caches a part only together with its prefix.
	Key uint64
	// ID identifies the part alone, whatever precedes it.
	ID     uint64
	Tokens int64
}

// Cost is the size of one request in tokens.
type Cost struct {
	// SharedParts lists the parts that other requests may have too, in the prompt's
	// order.
	SharedParts []Part
	// UnsharedTokens is the number of prompt tokens that are not in shared parts.
	UnsharedTokens int64
	// GeneratedTokens is the expected number of generated tokens.
	GeneratedTokens int64
}

// generatedTokenWeight is the cost of a generated token in prompt tokens. The
// operators' token rate uses the same ratio.
const generatedTokenWeight = 2

// maxParts is the maximum number of parts that are parsed of one prompt.
const maxParts = 64

// PromptTokens returns the number of prompt tokens, shared or not.
func (c Cost) PromptTokens() int64 {
	total := c.UnsharedTokens
	for _, p := range c.SharedParts {
		total += p.Tokens
	}
	return total
}

// Units returns the cost in units of the operators' token rate.
func (c Cost) Units() int64 { return c.PromptTokens() + generatedTokenWeight*c.GeneratedTokens }

// Affinity returns the key of the longest shared prefix, or 0 if there is none.
func (c Cost) Affinity() uint64 {
	if len(c.SharedParts) == 0 {
		return 0
	}
	return c.SharedParts[len(c.SharedParts)-1].Key
}

// SharedIDs returns the IDs of the shared parts.
func (c Cost) SharedIDs() []uint64 {
	ids := make([]uint64, len(c.SharedParts))
	for i, p := range c.SharedParts {
		ids[i] = p.ID
	}
	return ids
}

// Parse returns the cost given by the values of a request's headers. parts is a
// comma-separated list of ID:TOKENS entries, of which the last is not shared;
// counts holds the number of prompt tokens and the maximum of generated tokens;
// hint is the expected number of generated tokens. Invalid values are treated
// as absent.
func Parse(parts, counts, hint string) Cost {
	var c Cost
	var key xxhash.Digest
	key.Reset()
	for id, tokens := range entries(parts) {
		if len(c.SharedParts) > 0 {
			_, _ = key.WriteString(",")
		}
		_, _ = key.WriteString(id)
		c.SharedParts = append(c.SharedParts, Part{Key: key.Sum64(), ID: xxhash.Sum64String(id), Tokens: tokens})
	}
	if n := len(c.SharedParts); n > 0 {
		c.UnsharedTokens = c.SharedParts[n-1].Tokens
		c.SharedParts = c.SharedParts[:n-1]
	}
	promptCount, maximum, _ := strings.Cut(counts, ",")
	if n, err := strconv.ParseInt(strings.TrimSpace(promptCount), 10, 32); err == nil && n > c.PromptTokens() {
		c.UnsharedTokens += n - c.PromptTokens()
	}
	c.GeneratedTokens = expectedGeneratedTokens(maximum, hint)
	return c
}

// ParseParts returns a cost of nothing that names the shared parts of a prompt, for services
// that run no prompts. The parts have only IDs, so the request has no affinity.
func ParseParts(parts string) Cost {
	var c Cost
	for id := range entries(parts) {
		c.SharedParts = append(c.SharedParts, Part{ID: xxhash.Sum64String(id)})
	}
	if n := len(c.SharedParts); n > 0 {
		c.SharedParts = c.SharedParts[:n-1]
	}
	return c
}

// entries returns the IDs and sizes of a prompt's parts, up to the first invalid entry.
func entries(parts string) iter.Seq2[string, int64] {
	return func(yield func(string, int64) bool) {
		for _, entry := range strings.SplitN(parts, ",", maxParts) {
			id, size, ok := strings.Cut(strings.TrimSpace(entry), ":")
			tokens, err := strconv.ParseInt(size, 10, 32)
			if !ok || err != nil || tokens < 0 || !yield(id, tokens) {
				return
			}
		}
	}
}

func expectedGeneratedTokens(maximum, hint string) int64 {
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
