package eventstream

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against lost, duplicate or reordered bytes and against incomplete events
// being returned, for streams split at random positions.
func TestSplitterReturnsOnlyCompleteEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream strings.Builder
		n := rapid.IntRange(0, 20).Draw(t, "events")
		for i := range n {
			end := rapid.SampledFrom([]string{"\n\n", "\r\n\r\n"}).Draw(t, "end")
			stream.WriteString("id: " + string(rune('0'+i%10)) + "\ndata: " + rapid.StringMatching(`[a-z]{0,30}`).Draw(t, "data") + end)
		}
		tail := rapid.SampledFrom([]string{"", "id: 77\nda"}).Draw(t, "tail")
		rest := stream.String() + tail
		var s Splitter
		var got strings.Builder
		for len(rest) > 0 {
			cut := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			complete := string(s.Feed([]byte(rest[:cut])))
			rest = rest[cut:]
			if complete != "" && !strings.HasSuffix(complete, "\n\n") && !strings.HasSuffix(complete, "\r\n\r\n") {
				t.Fatalf("incomplete event returned: %q", complete)
			}
			got.WriteString(complete)
		}
		if got.String() != stream.String() || string(s.Remainder()) != tail || s.HasPartial() != (tail != "") {
			t.Fatalf("got %q and %q, want %q and %q", got.String(), s.Remainder(), stream.String(), tail)
		}
		id, ok := s.LastID()
		if ok != (n > 0) || (ok && id != int64((n-1)%10)) {
			t.Fatalf("last identifier %d %v after %d events", id, ok, n)
		}
	})
}

// Guards against resuming a stream after an event that was received incompletely.
func TestIDOfIncompleteEventIsIgnored(t *testing.T) {
	var s Splitter
	must.Eq(t, "id: 4\n\n", string(s.Feed([]byte("id: 4\n\nid: 5\ndata"))))
	id, ok := s.LastID()
	must.True(t, ok)
	must.Eq(t, 4, id)
	s.DropPartial()
	must.False(t, s.HasPartial())
}

// Guards against lost or changed bytes for arbitrary input.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2"), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cut = min(max(cut, 0), len(data))
		var s Splitter
		got := append([]byte{}, s.Feed(data[:cut])...)
		got = append(got, s.Feed(data[cut:])...)
		if string(got)+string(s.Remainder()) != string(data) {
			t.Fatalf("output differs from the input %q", data)
		}
	})
}
