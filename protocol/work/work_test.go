package work

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func valid() *Header {
	return &Header{
		Fleet: "f", Router: "127.0.0.1:1", Request: "r", Attempt: 1, Team: "t", Service: "s", Operation: "o",
		Endpoint: "e", SlotToken: "k", Weight: 1, Hint: 2, ConfigVersion: 3, Method: "POST", URI: "/a?b=c",
		Forwarded: http.Header{"X-A": {"1", "2"}},
	}
}

// Guards against a field that is lost on the way to the agent.
func TestEncodeDecode(t *testing.T) {
	h := http.Header{}
	valid().Encode(h)
	got, err := Decode(h)
	must.NoError(t, err)
	must.Eq(t, valid(), got)
}

// Guards against headers that an agent would misread.
func TestDecodeRefuses(t *testing.T) {
	changes := map[string]func(http.Header){
		"no request":      func(h http.Header) { h.Del("Acaciaspar-Request") },
		"no token":        func(h http.Header) { h.Del("Acaciaspar-Slot-Token") },
		"no method":       func(h http.Header) { h.Del("Acaciaspar-Method") },
		"attempt 0":       func(h http.Header) { h.Set("Acaciaspar-Attempt", "0") },
		"large attempt":   func(h http.Header) { h.Set("Acaciaspar-Attempt", "4294967296") },
		"negative weight": func(h http.Header) { h.Set("Acaciaspar-Weight", "-1") },
		"absolute URI":    func(h http.Header) { h.Set("Acaciaspar-Uri", "http://other/a") },
		"other host":      func(h http.Header) { h.Set("Acaciaspar-Uri", "//other/a") },
		"space":           func(h http.Header) { h.Set("Acaciaspar-Uri", "/a b") },
		"space in query":  func(h http.Header) { h.Set("Acaciaspar-Uri", "/a?b c") },
		"fragment":        func(h http.Header) { h.Set("Acaciaspar-Uri", "/a#b") },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			h := http.Header{}
			valid().Encode(h)
			change(h)
			_, err := Decode(h)
			must.Error(t, err)
		})
	}
}

// Guards against a header that is decoded to something that can't be encoded
// again, or to a URI that leads to another host than the endpoint's.
func FuzzDecode(f *testing.F) {
	f.Add("r", "t", "s", "k", "1", "2", "3", "4", "POST", "/a?b=c", "X-A", "v")
	f.Add("r", "t", "s", "k", "0", "", "-1", "x", "", "//h/", "", "")
	f.Add("r", "t", "s", "k", "1", "1", "1", "1", "GET", "/%2f/..//@h:1/?#", "connection", "x")
	f.Fuzz(func(t *testing.T, request, team, service, token, attempt, weight, hint, version, method, uri, name, value string) {
		h := http.Header{}
		h.Set("Acaciaspar-Request", request)
		h.Set("Acaciaspar-Team", team)
		h.Set("Acaciaspar-Service", service)
		h.Set("Acaciaspar-Slot-Token", token)
		h.Set("Acaciaspar-Attempt", attempt)
		h.Set("Acaciaspar-Weight", weight)
		h.Set("Acaciaspar-Hint", hint)
		h.Set("Acaciaspar-Config-Version", version)
		h.Set("Acaciaspar-Method", method)
		h.Set("Acaciaspar-Uri", uri)
		h.Set(forwardedPrefix+name, value)
		got, err := Decode(h)
		if err != nil {
			return
		}
		target, err := url.Parse("http://endpoint:80" + got.URI)
		must.NoError(t, err)
		must.Eq(t, "endpoint:80", target.Host)
		must.False(t, strings.ContainsAny(target.RequestURI(), " \r\n"))
		again := http.Header{}
		got.Encode(again)
		second, err := Decode(again)
		must.NoError(t, err)
		must.Eq(t, got, second)
	})
}
