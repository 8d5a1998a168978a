package idemkey

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const window = time.Minute

var (
	start = time.Unix(1_700_000_000, 0)
	k1    = KeyOf("harbour", "post-desk", "label", "one")
)

// Guards against a second winner of a key within the window, a key that is
// released by another request, and a key that is never free again.
func TestFirstClaimWinsUntilReleasedOrExpired(t *testing.T) {
	table := NewTable(window, 10)
	must.Eq(t, Won, table.Claim(start, k1, "r1"))
	must.Eq(t, Repeated, table.Claim(start, k1, "r1"))
	must.Eq(t, Duplicate, table.Claim(start.Add(window-1), k1, "r2"))
	table.Release(start.Add(window-1), k1, "r2")
	must.Eq(t, Duplicate, table.Claim(start.Add(window-1), k1, "r3"))
	table.Release(start.Add(window-1), k1, "r3")
	must.Eq(t, Won, table.Claim(start.Add(window), k1, "r4"))
	table.Release(start.Add(window), k1, "r4")
	must.Eq(t, Won, table.Claim(start.Add(window), k1, "r5"))
	must.Eq(t, 1, table.Len())
}

// Guards against a reader that drops a claim because it read it while an older
// claim held the key: the claim may have won at its own router.
func TestLosingClaimStillBlocksKey(t *testing.T) {
	table := NewTable(window, 10)
	table.Claim(start, k1, "r1")
	must.Eq(t, Duplicate, table.Claim(start.Add(window-1), k1, "r2"))
	must.Eq(t, Duplicate, table.Claim(start.Add(window+1), k1, "r3"))
	table.Release(start.Add(window+1), k1, "r2")
	table.Release(start.Add(window+1), k1, "r3")
	must.Eq(t, Won, table.Claim(start.Add(window+1), k1, "r4"))
}

// Guards against a key that expires early because it was claimed, released
// and claimed again.
func TestReclaimedKeyHasNewExpiry(t *testing.T) {
	table := NewTable(window, 10)
	table.Claim(start, k1, "r1")
	table.Release(start, k1, "r1")
	must.Eq(t, Won, table.Claim(start.Add(window/2), k1, "r2"))
	must.Eq(t, Duplicate, table.Claim(start.Add(window), k1, "r3"))
}

// Guards against a full table that grows, or that drops a claim and then lets
// another request with the same key win.
func TestFullTableIsUndecided(t *testing.T) {
	table := NewTable(window, 3)
	for i := range 3 {
		must.Eq(t, Won, table.Claim(start, KeyOf("t", "s", "o", fmt.Sprint(i)), "r"))
	}
	must.Eq(t, Undecided, table.Claim(start.Add(window-1), k1, "r1"))
	must.Eq(t, Undecided, table.Claim(start.Add(window), k1, "r2"))
	must.Eq(t, Duplicate, table.Claim(start.Add(2*window-1), k1, "r3"))
	must.Eq(t, Won, table.Claim(start.Add(3*window), k1, "r4"))
}

// Guards against two different scopes that map to the same Key.
func TestKeyOfSeparatesScopes(t *testing.T) {
	must.NotEq(t, KeyOf("a", "b", "c", "d"), KeyOf("a", "b", "c\",\"d", ""))
	must.NotEq(t, KeyOf("a", "bc", "d", "e"), KeyOf("ab", "c", "d", "e"))
}

// Guards against a decoder that panics, or that accepts a record which Encode
// rejects.
func FuzzDecode(f *testing.F) {
	claims := Record{Type: ClaimsRecord, Router: "i1", Claims: []Entry{{Key: k1, Request: "r1"}}}
	releases := Record{Type: ReleasesRecord, Router: "i1", Releases: claims.Claims}
	for _, r := range []Record{claims, releases} {
		value, err := r.Encode()
		must.NoError(f, err)
		f.Add(value)
	}
	f.Add([]byte(`{"type":"agent-start","endpoint":"press-1"}`))
	f.Add([]byte(`{"type":"claims","router":"i1","claims":[{"key":"00","request":"r"}]}`))
	f.Add([]byte(`{"type":"claims","router":"i1","claims":[]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := Decode(value)
		if err != nil || r.Type != ClaimsRecord && r.Type != ReleasesRecord {
			return
		}
		encoded, err := r.Encode()
		must.NoError(t, err)
		again, err := Decode(encoded)
		must.NoError(t, err)
		must.Eq(t, r, again)
	})
}
