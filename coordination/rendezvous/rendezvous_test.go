package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func candidateNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("127.0.0.1:%d", 7000+i)
	}
	return out
}

// Guards against a choice that depends on the order of the candidates.
func TestChooseIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		candidates := rapid.SliceOfNDistinct(rapid.String(), 0, 20, rapid.ID[string]).Draw(r, "candidates")
		key := rapid.String().Draw(r, "key")
		shuffled := rapid.Permutation(candidates).Draw(r, "shuffled")
		want := Choose(key, candidates)
		must.Eq(r, want, Choose(key, shuffled))
		must.Eq(r, Rank(key, candidates), Rank(key, shuffled))
		if len(candidates) > 0 {
			must.Eq(r, want, Rank(key, candidates)[0])
		}
	})
}

// Guards against moving keys of a remaining candidate when another is removed.
func TestRemovedCandidateMovesOnlyItsKeys(t *testing.T) {
	all := candidateNames(20)
	fewer := slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == all[7] })
	for i := range 1000 {
		key := fmt.Sprint("key", i)
		if before := Choose(key, all); before != all[7] {
			must.Eq(t, before, Choose(key, fewer))
		}
	}
}

// Guards against a hash weight that assigns more keys to some candidates.
func TestKeysAreSpreadEvenly(t *testing.T) {
	all := candidateNames(10)
	counts := map[string]int{}
	for i := range 10_000 {
		counts[Choose(fmt.Sprint("key", i), all)]++
	}
	for _, c := range all {
		must.Between(t, 800, counts[c], 1200)
	}
}

func TestChooseWithoutCandidates(t *testing.T) {
	must.Eq(t, "", Choose("key", nil))
}
