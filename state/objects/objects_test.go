package objects

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const validFile = `# A small pool.
kind: Team
name: harbour
tokenSHA256: [` + hashA + `]
---
kind: Service
name: strand-assist
type: model
operations:
  - name: chat
    path: /v1/chat
    idempotent: true
  - {name: complete, path: /v1/complete}
defaultCost: 500
maxCost: 8000
---
{"kind": "Endpoint", "name": "duluth-1", "service": "strand-assist",
 "zone": "duluth", "slots": 8, "fencing": "checked"}
---
- {kind: Share, name: harbour-strand-assist, team: harbour, service: strand-assist, weight: 10}
`

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

func loadValid(t testing.TB) *Set {
	t.Helper()
	set, faults := Load(Source{"pool.yaml", []byte(validFile)})
	must.SliceEmpty(t, faults)
	return set
}

// Guards against fields lost in loading, encoding or decoding.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	set := loadValid(t)
	must.Eq(t, "harbour", set.TeamByTokenHash(hashA).Name)
	must.Eq(t, 10, set.Share("harbour", "strand-assist").Weight)
	must.True(t, set.Services["strand-assist"].OperationByPath("/v1/chat").Idempotent)
	must.Eq(t, EndpointActive, set.Endpoints["duluth-1"].State)
	decoded, err := Decode(set.Encode())
	must.NoError(t, err)
	must.Eq(t, set.Hash(), decoded.Hash())
	must.Eq(t, set.Teams, decoded.Teams)
	must.Eq(t, set.Services, decoded.Services)
	must.Eq(t, set.Endpoints, decoded.Endpoints)
	must.Eq(t, set.Shares, decoded.Shares)
}

// Guards against a check that stops at the first fault or reports a wrong line.
func TestCheckReportsEveryFault(t *testing.T) {
	bad := strings.Join([]string{
		`{kind: Team, name: Bad_Name, tokenSHA256: [xyz]}`,
		`{kind: Team, name: one, tokenSHA256: [` + hashA + `, ` + hashA + `]}`,
		`{kind: Team, name: two, tokenSHA256: [` + hashA + `], colour: red}`,
		`{kind: Service, name: s, type: odd, defaultCost: 9, maxCost: 3, operations: [{name: a, path: x}, {name: a, path: /y}, {name: b, path: /y}]}`,
		`{kind: Service, name: zero, type: plain, defaultCost: 0, maxCost: 0}`,
		`{kind: Endpoint, name: e, service: s, zone: z, slots: 1025, prefetch: 65, fencing: maybe, state: gone}`,
		`{kind: Endpoint, name: e, service: zero, zone: z, slots: 1, fencing: checked}`,
		`{kind: Endpoint, name: f, service: none, zone: "", slots: 0, fencing: ignored}`,
		`{kind: Share, name: p, team: one, service: s, weight: 0}`,
		`{kind: Share, name: q, team: one, service: s, weight: 1000001}`,
		`{kind: Share, name: r, service: s, weight: 1.5}`,
		`{kind: Share, name: r, team: ghost, service: s, weight: 1}`,
		`{kind: Lease, name: l}`,
		`{name: nothing}`,
		`{kind: Team, name: "", tokenSHA256: []}`,
		`just text`,
	}, "\n---\n")
	set, faults := Load(Source{"bad.yaml", []byte(bad)})
	must.Nil(t, set)
	var got []string
	for _, f := range faults {
		must.Eq(t, "bad.yaml", f.File)
		got = append(got, fmt.Sprintf("%d %s %s %s", f.Line/2+1, f.Kind, f.Object, f.Field))
	}
	must.Eq(t, []string{
		"1 Team Bad_Name name",
		"1 Team Bad_Name tokenSHA256[0]",
		"2 Team one tokenSHA256[1]",
		"3 Team two colour",
		"3 Team two tokenSHA256[0]",
		"4 Service s defaultCost",
		"4 Service s operations[0].path",
		"4 Service s operations[1].name",
		"4 Service s operations[2].path",
		"4 Service s type",
		"5 Service zero defaultCost",
		"5 Service zero maxCost",
		"6 Endpoint e fencing",
		"6 Endpoint e prefetch",
		"6 Endpoint e slots",
		"6 Endpoint e state",
		"7 Endpoint e name",
		"7 Endpoint e service",
		"8 Endpoint f service",
		"8 Endpoint f slots",
		"8 Endpoint f zone",
		"9 Share p weight",
		"10 Share q team",
		"10 Share q weight",
		"11 Share r team",
		"11 Share r weight",
		"12 Share r name",
		"13  l kind",
		"14  nothing kind",
		"15 Team  name",
		"16   ",
	}, got)
}

// Guards against a syntax error that is reported without its line.
func TestSyntaxErrorHasLine(t *testing.T) {
	_, faults := Load(Source{"bad.yaml", []byte("kind: Team\nname: [a\n---\n")})
	must.SliceNotEmpty(t, faults)
	must.Positive(t, faults[0].Line)
	must.StrContains(t, faults[0].String(), "bad.yaml:")
}

// Guards against an agent that rejects the part of the set that it receives
// because the other objects are missing.
func TestDecodeEndpointSubset(t *testing.T) {
	subset, err := Decode(loadValid(t).ForEndpoint("duluth-1").Encode())
	must.NoError(t, err)
	must.Eq(t, 2, subset.Size())
	must.NotNil(t, subset.Services[subset.Endpoints["duluth-1"].Service])
	must.Eq(t, 0, loadValid(t).ForEndpoint("absent").Size())
}

// Guards against accepting changes that are malformed or lead to an
// inconsistent set.
func TestApplyRejectsInvalidChanges(t *testing.T) {
	set := loadValid(t)
	team := putChange(&Team{Name: "x", TokenSHA256: []string{hashB}})
	for name, changes := range map[string][]Change{
		"absent":     {{Op: OpDelete, Kind: KindTeam, Name: "absent"}},
		"dangling":   {{Op: OpDelete, Kind: KindTeam, Name: "harbour"}},
		"twice":      {team, team},
		"operation":  {{Op: "rename", Kind: KindTeam, Name: "x"}},
		"kind":       {{Op: OpDelete, Kind: "Lease", Name: "x"}},
		"other name": {{Op: OpPut, Kind: KindTeam, Name: "y", Object: team.Object}},
		"no object":  {{Op: OpPut, Kind: KindTeam, Name: "x"}},
		"field":      {{Op: OpPut, Kind: KindTeam, Name: "x", Object: json.RawMessage(`{"kind":"Team","name":"x","age":3}`)}},
		"delete with object": {{Op: OpDelete, Kind: KindShare, Name: "harbour-strand-assist",
			Object: team.Object}},
	} {
		next, faults := set.Apply(changes)
		must.Nil(t, next, must.Sprint(name))
		must.SliceNotEmpty(t, faults, must.Sprint(name))
	}
}

// Guards against reporting a dangling reference twice when the referring object
// is changed together with the deletion of the object that it refers to.
func TestDanglingReferenceIsReportedOnce(t *testing.T) {
	set := loadValid(t)
	share := *set.Shares["harbour-strand-assist"]
	share.Weight++
	_, faults := set.Apply([]Change{{Op: OpDelete, Kind: KindTeam, Name: "harbour"}, putChange(&share)})
	must.Eq(t, []Fault{{Kind: KindShare, Object: share.Name, Field: "team", Message: `team "harbour" does not exist`}}, faults)
}

func generateObject(t *rapid.T) Object {
	name := rapid.SampledFrom([]string{"a", "b"})
	switch rapid.SampledFrom(kinds).Draw(t, "kind") {
	case KindTeam:
		hashes := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{hashA, hashB}), 0, 2, rapid.ID).Draw(t, "hashes")
		return &Team{Name: name.Draw(t, "name"), TokenSHA256: hashes}
	case KindService:
		return &Service{Name: name.Draw(t, "name"), Type: PlainService, DefaultCost: 1, MaxCost: rapid.Uint64Range(1, 3).Draw(t, "max")}
	case KindEndpoint:
		return &Endpoint{Name: name.Draw(t, "name"), Service: name.Draw(t, "service"), Zone: "z", Slots: 1, Fencing: FencingIgnored}
	default:
		return &Share{Name: name.Draw(t, "name"), Team: name.Draw(t, "team"), Service: name.Draw(t, "service"), Weight: 1}
	}
}

func generateChanges(t *rapid.T) []Change {
	var changes []Change
	for range rapid.IntRange(1, 3).Draw(t, "count") {
		c := putChange(generateObject(t))
		if rapid.Bool().Draw(t, "delete") {
			c = Change{Op: OpDelete, Kind: c.Kind, Name: c.Name}
		}
		changes = append(changes, c)
	}
	return changes
}

// Guards against an incremental check that misses a fault which the check of the
// whole set finds, and against a hash or lookup table that depends on the
// sequence of changes that led to a set.
func TestApplyMatchesFullCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := NewSet()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			changes := generateChanges(t)
			patched, err := set.Patch(changes)
			must.NoError(t, err)
			next, faults := set.Apply(changes)
			if faults == nil {
				must.SliceEmpty(t, next.Check())
				must.Eq(t, patched.Hash(), next.Hash())
			} else if !hasInvalidChange(faults) {
				must.SliceNotEmpty(t, patched.Check())
			}
			if next == nil {
				continue
			}
			rebuilt, err := Decode(next.Encode())
			must.NoError(t, err)
			must.Eq(t, rebuilt.Hash(), next.Hash())
			must.Eq(t, rebuilt.teamByToken, next.teamByToken)
			must.Eq(t, rebuilt.shareByTeamService, next.shareByTeamService, must.Cmp(cmp.AllowUnexported(teamService{})))
			back, err := next.Patch(Diff(next, set))
			must.NoError(t, err)
			must.Eq(t, set.Hash(), back.Hash())
			set = next
		}
	})
}

func hasInvalidChange(faults []Fault) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool {
		return f.Message == "does not exist" || f.Message == "is changed twice"
	})
}

func largeSet(teams int) *Set {
	all := make([]Object, 0, 2*teams+32)
	for i := range 32 {
		all = append(all, &Service{Name: fmt.Sprintf("model-%02d", i), Type: ModelService, DefaultCost: 500, MaxCost: 8000,
			Operations: []Operation{{Name: "chat", Path: "/v1/chat", Idempotent: true}}})
	}
	for i := range teams {
		name := fmt.Sprintf("team-%05d", i)
		all = append(all, &Team{Name: name, TokenSHA256: []string{fmt.Sprintf("%064x", i)}})
		for j := range 2 {
			service := fmt.Sprintf("model-%02d", (i+j)%32)
			all = append(all, &Share{Name: name + "-" + service, Team: name, Service: service, Weight: 1})
		}
	}
	return NewSet(all...)
}

// Guards against different results above rebuildThreshold, where the list of
// digests is sorted once instead of updated for each change.
func TestApplyManyChanges(t *testing.T) {
	set := largeSet(200)
	must.SliceEmpty(t, set.Check())
	grown, faults := NewSet().Apply(Diff(NewSet(), set))
	must.SliceEmpty(t, faults)
	must.Eq(t, set.Hash(), grown.Hash())
	emptied, faults := grown.Apply(Diff(grown, NewSet()))
	must.SliceEmpty(t, faults)
	must.Eq(t, NewSet().Hash(), emptied.Hash())
}

func BenchmarkApplyOneShareOf18000Teams(b *testing.B) {
	set := largeSet(18_000)
	b.ReportAllocs()
	for i := range b.N {
		share := *set.Shares["team-00007-model-07"]
		share.Weight = uint64(i%MaxWeight + 1)
		next, faults := set.Apply([]Change{putChange(&share)})
		if faults != nil {
			b.Fatal(faults)
		}
		_ = next.Hash()
	}
}

func BenchmarkEncodeDecode18000Teams(b *testing.B) {
	set := largeSet(18_000)
	b.ReportAllocs()
	for range b.N {
		if _, err := Decode(set.Encode()); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against panics in the parser, and against a file that is accepted while
// its encoded form is not.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte(`[{"kind":"Team","name":"a","tokenSHA256":[]}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, faults := Load(Source{"fuzz.yaml", data})
		if set == nil {
			must.SliceNotEmpty(t, faults)
			return
		}
		must.SliceEmpty(t, set.Check())
		decoded, err := Decode(set.Encode())
		must.NoError(t, err)
		must.Eq(t, set.Hash(), decoded.Hash())
	})
}

// Guards against an example in the documentation that fails validation.
func TestDocumentedExample(t *testing.T) {
	text, err := os.ReadFile("../../docs/objects.md")
	must.NoError(t, err)
	_, rest, found := strings.Cut(string(text), "```yaml\n")
	must.True(t, found)
	example, _, found := strings.Cut(rest, "```")
	must.True(t, found)
	set, faults := Load(Source{"objects.md", []byte(example)})
	must.SliceEmpty(t, faults)
	must.Eq(t, 10, set.Size())
}
