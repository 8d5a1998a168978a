// Package rendezvous implements rendezvous hashing (highest random weight):
// every process with the same candidates chooses the same one for a key, and
// removing a candidate moves only its own keys. The package holds no state.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// separator makes the pairs ("a", "bc") and ("ab", "c") hash differently.
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

// Choose returns the candidate with the highest weight for key, or the empty
// string if there are no candidates. The result doesn't depend on their order.
func Choose(key string, candidates []string) string {
	var best string
	var bestWeight uint64
	for i, c := range candidates {
		w := Weight(key, c)
		if i == 0 || ranksBefore(w, c, bestWeight, best) {
			best, bestWeight = c, w
		}
	}
	return best
}

// Rank returns the candidates in descending order of weight for key. It does not
// modify candidates.
func Rank(key string, candidates []string) []string {
	weights := make(map[string]uint64, len(candidates))
	ranked := make([]string, len(candidates))
	copy(ranked, candidates)
	for _, c := range ranked {
		weights[c] = Weight(key, c)
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		return ranksBefore(weights[a], a, weights[b], b)
	})
	return ranked
}

// ranksBefore reports whether the candidate name with weight w ranks before
// other: the higher weight first and, for equal weights, the smaller name.
func ranksBefore(w uint64, name string, otherWeight uint64, other string) bool {
	if w != otherWeight {
		return w > otherWeight
	}
	return name < other
}
