package hostlist

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against decoding the role, zone or state of a target incorrectly.
func TestDecode(t *testing.T) {
	hosts, err := Decode(strings.NewReader(`[
		{"targets":["127.0.0.1:1","127.0.0.1:2"],"labels":{"role":"router","zone":"a","state":"live"}},
		{"targets":["127.0.0.1:3"],"labels":{"role":"agent","zone":"b","state":"leaving"}}]`))
	must.NoError(t, err)
	must.Eq(t, []Host{
		{Address: "127.0.0.1:1", Role: "router", Zone: "a"},
		{Address: "127.0.0.1:2", Role: "router", Zone: "a"},
		{Address: "127.0.0.1:3", Role: "agent", Zone: "b", Leaving: true},
	}, hosts)
}

// Guards against a panic on a malformed list.
func FuzzDecode(f *testing.F) {
	f.Add(`[{"targets":["127.0.0.1:1"],"labels":{"role":"router"}}]`)
	f.Add(`[{"targets":null}]`)
	f.Add(`{`)
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = Decode(strings.NewReader(text))
	})
}
