package prompt

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a request's last part taken for a shared one, and against
// equal keys for shared parts with different parts before them.
func TestParse(t *testing.T) {
	c := Parse("5c:800, 91:410,e4:250", "1460,80", "30")
	must.Eq(t, 250, c.UnsharedTokens)
	must.Eq(t, 1460, c.PromptTokens())
	must.Eq(t, 30, c.GeneratedTokens)
	must.Eq(t, 1460+2*30, c.Units())
	must.Len(t, 2, c.SharedParts)
	must.Eq(t, 410, c.SharedParts[1].Tokens)
	must.Eq(t, c.SharedParts[1].Key, c.Affinity())

	other := Parse("77:800,91:410,aa:1", "", "")
	must.NotEq(t, c.SharedParts[1].Key, other.SharedParts[1].Key)
	same := Parse("5c:800,91:410,aa:1", "", "")
	must.Eq(t, c.SharedParts[1].Key, same.SharedParts[1].Key)
}

// Guards against a cost of 0 for requests that lack some of the headers.
func TestParseIncompleteHeaders(t *testing.T) {
	must.Eq(t, 900, Parse("", "900,80", "").PromptTokens())
	must.Eq(t, 80, Parse("", "900,80", "").GeneratedTokens)
	must.Eq(t, 80, Parse("", "900,80", "500").GeneratedTokens)
	must.Eq(t, 500, Parse("", "", "500").GeneratedTokens)
	must.Eq(t, 300, Parse("a:100,b:200", "", "").PromptTokens())
	must.Eq(t, 0, Parse("nonsense", "x,y", "-4").Units())
}

// Guards against charging a request to a service that runs no prompts for the parts that it
// names, or placing it by them, and against other IDs than those of the same parts elsewhere.
func TestPartsAloneCostNothing(t *testing.T) {
	c := ParseParts("5c:800, 91:410,e4:250")
	must.Eq(t, 0, c.Units())
	must.Eq(t, 0, c.Affinity())
	must.Eq(t, Parse("5c:800, 91:410,e4:250", "1460,80", "30").SharedIDs(), c.SharedIDs())
	must.Len(t, 0, ParseParts("").SharedIDs())
	must.Len(t, 0, ParseParts("5c:800").SharedIDs())
	must.Len(t, 0, ParseParts("nonsense").SharedIDs())
}

func FuzzParse(f *testing.F) {
	f.Add("5c:800,91:410,e4:250", "1460,80", "30")
	f.Add(":,:", ",", "-1")
	f.Fuzz(func(t *testing.T, parts, counts, hint string) {
		c := Parse(parts, counts, hint)
		if c.PromptTokens() < 0 || c.GeneratedTokens < 0 || c.UnsharedTokens < 0 {
			t.Fatalf("negative cost %+v", c)
		}
		if alone := ParseParts(parts); alone.Units() != 0 || !slices.Equal(alone.SharedIDs(), c.SharedIDs()) {
			t.Fatalf("parts %+v, want those of %+v and no cost", alone, c)
		}
	})
}
