package loadreport

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func drawCrashReport(t *rapid.T) *CrashReport {
	age := rapid.Uint32Range(0, MaxCount)
	r := &CrashReport{Instance: rapid.StringMatching(`[a-z0-9]{1,64}`).Draw(t, "instance")}
	for range rapid.IntRange(0, 4).Draw(t, "interrupted") {
		i := InterruptedRequest{Crash: rapid.Uint32().Draw(t, "crash"), AgeMs: age.Draw(t, "age"), Responding: rapid.Bool().Draw(t, "responding"),
			Begun: rapid.Bool().Draw(t, "begun"), LastedMs: age.Draw(t, "lasted"), Request: rapid.Uint64().Draw(t, "request")}
		for range rapid.IntRange(0, 4).Draw(t, "parts") {
			i.Parts = append(i.Parts, rapid.Uint64().Draw(t, "part"))
		}
		r.Interrupted = append(r.Interrupted, i)
	}
	for range rapid.IntRange(0, 4).Draw(t, "served") {
		r.Served = append(r.Served, ServedPart{rapid.Uint64().Draw(t, "part"), age.Draw(t, "age"), age.Draw(t, "lasted")})
	}
	return r
}

// Guards against crashes that change between routers, and against truncated or extended
// datagrams that are accepted.
func TestCrashReportsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawCrashReport(t)
		data := want.Append(nil)
		must.True(t, IsCrashReport(data))
		got, err := DecodeCrashReport(data)
		must.NoError(t, err)
		must.Eq(t, want, got)
		_, err = DecodeCrashReport(data[:rapid.IntRange(0, len(data)-1).Draw(t, "cut")])
		must.Error(t, err)
		_, err = DecodeCrashReport(append(data, 0))
		must.Error(t, err)
		_, err = Decode(data)
		must.Error(t, err, must.Sprint("as a load report"))
	})
}

// Guards against a report with a value out of range, such as a prompt of thousands of parts, whose
// comparison with others would hold up the router, and against an error that doesn't name the field.
func TestInvalidCrashReportsAreRejected(t *testing.T) {
	for name, r := range map[string]CrashReport{
		"instance":              {},
		"interrupted requests":  {Instance: "a", Interrupted: []InterruptedRequest{{Parts: make([]uint64, maxCrashParts+1)}}},
		"interrupted requests ": {Instance: "a", Interrupted: []InterruptedRequest{{AgeMs: MaxCount + 1}}},
		"served parts":          {Instance: "a", Served: []ServedPart{{AgeMs: math.MaxUint32}}},
	} {
		_, err := DecodeCrashReport(r.Append(nil))
		must.Error(t, err, must.Sprint(name))
		must.StrContains(t, err.Error(), strings.TrimSpace(name))
	}
}

// Guards against datagrams that stop a router or make it allocate more memory than they
// are long.
func FuzzDecodeCrashReport(f *testing.F) {
	f.Add((&CrashReport{Instance: "a", Interrupted: []InterruptedRequest{{Crash: 1, AgeMs: 5, Responding: true, Parts: []uint64{7}}}}).Append(nil))
	f.Add([]byte{crashFormatVersion, 1, 'a', 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeCrashReport(data)
		if err != nil {
			return
		}
		again, err := DecodeCrashReport(r.Append(nil))
		if err != nil || !bytes.Equal(again.Append(nil), r.Append(nil)) {
			t.Fatalf("report changes when it is encoded again: %v, %v", r, err)
		}
	})
}
