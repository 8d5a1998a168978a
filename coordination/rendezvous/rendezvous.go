// Package rendezvous selects candidates by highest random weight: every
// process with the same candidates selects the same one for a key, and the
// loss of a candidate moves only the keys that it held. The package owns no
// state.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// separator keeps the pairs ("a", "bc") and ("ab", "c") apart.
const separator = "\x00"

// Weight returns the weight of a candidate for a key.
func Weight(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Choose returns the candidate with the largest weight for key, or the empty
// string without candidates. The order of the candidates doesn't matter.
func Choose(key string, candidates []string) string {
	var best string
	var bestWeight uint64
	for i, c := range candidates {
		w := Weight(key, c)
		if i == 0 || before(w, c, bestWeight, best) {
			best, bestWeight = c, w
		}
	}
	return best
}

// Rank returns the candidates in falling order of weight for key. It leaves
// the argument as it is.
func Rank(key string, candidates []string) []string {
	weights := make(map[string]uint64, len(candidates))
	ranked := make([]string, len(candidates))
	copy(ranked, candidates)
	for _, c := range ranked {
		weights[c] = Weight(key, c)
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		return before(weights[a], a, weights[b], b)
	})
	return ranked
}

// before orders by weight and, for equal weights, by name.
func before(w uint64, name string, otherWeight uint64, other string) bool {
	if w != otherWeight {
		return w > otherWeight
	}
	return name < other
}
