package loadreport

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against limits that change between routers, and against truncated or extended
// datagrams that are accepted.
func TestLimitReportsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.Uint32Range(0, MaxCount)
		want := &LimitReport{Instance: rapid.StringMatching(`[a-z0-9]{1,64}`).Draw(t, "instance"), Requests: count.Draw(t, "requests")}
		for range rapid.IntRange(0, 4).Draw(t, "limits") {
			want.Limits = append(want.Limits, RequestLimit{
				rapid.Uint32().Draw(t, "endpoint"), rapid.Bool().Draw(t, "limited"), count.Draw(t, "rate"), count.Draw(t, "age"),
			})
		}
		data := want.Append(nil)
		must.True(t, IsLimitReport(data))
		got, err := DecodeLimitReport(data)
		must.NoError(t, err)
		must.Eq(t, want, got)
		_, err = DecodeLimitReport(data[:rapid.IntRange(0, len(data)-1).Draw(t, "cut")])
		must.Error(t, err)
		_, err = DecodeLimitReport(append(data, 0))
		must.Error(t, err)
	})
}

// Guards against a report with a value out of range, and against an error that doesn't name the field.
func TestInvalidLimitReportsAreRejected(t *testing.T) {
	for name, r := range map[string]LimitReport{
		"instance": {}, "requests": {Instance: "a", Requests: MaxCount + 1}, "limits": {Instance: "a", Limits: []RequestLimit{{MilliRate: MaxCount + 1}}},
		"limits ": {Instance: "a", Limits: []RequestLimit{{AgeMs: MaxCount + 1}}},
	} {
		_, err := DecodeLimitReport(r.Append(nil))
		must.Error(t, err, must.Sprint(name))
		must.StrContains(t, err.Error(), strings.TrimSpace(name))
	}
}

// Guards against datagrams that stop a router or make it allocate more memory than they
// are long.
func FuzzDecodeLimitReport(f *testing.F) {
	f.Add((&LimitReport{Instance: "a", Requests: 9, Limits: []RequestLimit{{1, true, 4500, 20}}}).Append(nil))
	f.Add([]byte{limitFormatVersion, 1, 'a', 0, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeLimitReport(data)
		if err != nil {
			return
		}
		again, err := DecodeLimitReport(r.Append(nil))
		if err != nil || !bytes.Equal(again.Append(nil), r.Append(nil)) {
			t.Fatalf("report changes when it is encoded again: %v, %v", r, err)
		}
	})
}
