package work

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// validHeader returns a header with all fields set.
func validHeader() *Header {
	return &Header{
		Fleet: "f", Router: "127.0.0.1:1", Request: "r", Attempt: 1, Team: "t", Service: "s", Operation: "o",
		Endpoint: "e", SlotToken: "k", Weight: 1, Hint: 2, ConfigVersion: 3, Method: "POST", URI: "/a?b=c",
		Forwarded: http.Header{"X-A": {"1", "2"}},
	}
}

// Guards against a field that is lost or changed by encoding and decoding.
func TestEncodeDecode(t *testing.T) {
	h := http.Header{}
	validHeader().Encode(h)
	got, err := Decode(h)
	must.NoError(t, err)
	must.Eq(t, validHeader(), got)
}

// Guards against accepting headers that are incomplete or malformed, or that change
// the request target.
func TestDecodeRejectsMalformed(t *testing.T) {
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
			validHeader().Encode(h)
			change(h)
			_, err := Decode(h)
			must.Error(t, err)
		})
	}
}

// Guards against a decoded header that doesn't survive encoding again, and against
// a decoded URI that addresses a host other than the endpoint's.
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
		encoded := http.Header{}
		got.Encode(encoded)
		decodedAgain, err := Decode(encoded)
		must.NoError(t, err)
		must.Eq(t, got, decodedAgain)
	})
}
