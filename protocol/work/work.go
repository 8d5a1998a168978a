// Package work defines the HTTP encoding of requests that an entry router
// forwards to an agent. It owns no state.
//
// The router sends POST Path with the caller's body. The agent responds with
// the endpoint's status, headers and body, and with the cost as a trailer. If
// the response comes from the agent itself, it has the header outcome.Header.
package work

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// Path is the path of the agent's work handler.
const Path = "/fleet/v1/work"

// CostTrailer is the trailer that holds the measured cost in cost units.
const CostTrailer = "Acaciaspar-Cost"

// forwardedPrefix is prepended to the caller's headers between router and agent,
// so that a caller can't set a header of this protocol.
const forwardedPrefix = "Acaciaspar-Forward-"

// hopByHopHeaders apply to a single connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Header holds the fields of a forwarded request other than its body.
type Header struct {
	// Fleet is the name of the fleet.
	Fleet string
	// Router is the address of the entry router's fleet listener.
	Router string
	// Request is the request identifier, unique in the fleet.
	Request string
	// Attempt is the number of the attempt, starting at 1.
	Attempt uint32
	Team    string
	Service string
	// Operation is the name of the operation in the service's object.
	Operation string
	// Endpoint is the endpoint that the slot token belongs to.
	Endpoint string
	// SlotToken is the token of a slot offered by the agent.
	SlotToken string
	// Weight is the weight of the team's share.
	Weight uint64
	// Hint is the expected cost in cost units.
	Hint uint64
	// ConfigVersion is the configuration version that the router uses.
	ConfigVersion uint64
	// Method and URI are the method of the caller's request, and its path and
	// query without the prefix of the service.
	Method string
	URI    string
	// Forwarded holds the caller's end-to-end headers without credentials.
	Forwarded http.Header
}

// Encode writes the fields of w to h.
func (w *Header) Encode(h http.Header) {
	h.Set("Acaciaspar-Fleet", w.Fleet)
	h.Set("Acaciaspar-Router", w.Router)
	h.Set("Acaciaspar-Request", w.Request)
	h.Set("Acaciaspar-Attempt", strconv.FormatUint(uint64(w.Attempt), 10))
	h.Set("Acaciaspar-Team", w.Team)
	h.Set("Acaciaspar-Service", w.Service)
	h.Set("Acaciaspar-Operation", w.Operation)
	h.Set("Acaciaspar-Endpoint", w.Endpoint)
	h.Set("Acaciaspar-Slot-Token", w.SlotToken)
	h.Set("Acaciaspar-Weight", strconv.FormatUint(w.Weight, 10))
	h.Set("Acaciaspar-Hint", strconv.FormatUint(w.Hint, 10))
	h.Set("Acaciaspar-Config-Version", strconv.FormatUint(w.ConfigVersion, 10))
	h.Set("Acaciaspar-Method", w.Method)
	h.Set("Acaciaspar-Uri", w.URI)
	for name, values := range w.Forwarded {
		h[forwardedPrefix+name] = values
	}
}

// Decode reads the fields that Encode writes. It returns an error if one is
// missing or malformed.
func Decode(h http.Header) (*Header, error) {
	w := &Header{
		Fleet:     h.Get("Acaciaspar-Fleet"),
		Router:    h.Get("Acaciaspar-Router"),
		Request:   h.Get("Acaciaspar-Request"),
		Team:      h.Get("Acaciaspar-Team"),
		Service:   h.Get("Acaciaspar-Service"),
		Operation: h.Get("Acaciaspar-Operation"),
		Endpoint:  h.Get("Acaciaspar-Endpoint"),
		SlotToken: h.Get("Acaciaspar-Slot-Token"),
		Method:    h.Get("Acaciaspar-Method"),
		URI:       h.Get("Acaciaspar-Uri"),
		Forwarded: http.Header{},
	}
	attempt, err := strconv.ParseUint(h.Get("Acaciaspar-Attempt"), 10, 32)
	if err != nil {
		return nil, fmt.Errorf("attempt: %w", err)
	}
	w.Attempt = uint32(attempt)
	numbers := []struct {
		name  string
		value *uint64
	}{
		{"Acaciaspar-Weight", &w.Weight},
		{"Acaciaspar-Hint", &w.Hint},
		{"Acaciaspar-Config-Version", &w.ConfigVersion},
	}
	for _, n := range numbers {
		*n.value, err = strconv.ParseUint(h.Get(n.name), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", n.name, err)
		}
	}
	for name, values := range h {
		if callerName, ok := strings.CutPrefix(name, forwardedPrefix); ok {
			w.Forwarded[http.CanonicalHeaderKey(callerName)] = values
		}
	}
	return w, w.validate()
}

func (w *Header) validate() error {
	if w.Request == "" || w.Team == "" || w.Service == "" || w.SlotToken == "" {
		return fmt.Errorf("request, team, service and slot token must be set")
	}
	if w.Attempt == 0 || w.Weight == 0 {
		return fmt.Errorf("attempt and weight must be positive")
	}
	if w.Method == "" {
		return fmt.Errorf("method must be set")
	}
	// These characters would end the request target early in the request line or the URL.
	if strings.ContainsFunc(w.URI, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '#' }) {
		return fmt.Errorf("uri %q has a character that must be escaped", w.URI)
	}
	u, err := url.ParseRequestURI(w.URI)
	if err != nil {
		return fmt.Errorf("uri: %w", err)
	}
	if u.Host != "" || !strings.HasPrefix(w.URI, "/") || strings.HasPrefix(w.URI, "//") {
		return fmt.Errorf("uri %q is not a path", w.URI)
	}
	return nil
}

// EndToEnd returns a copy of h without hop-by-hop headers, without the
// caller's credentials and without headers of this protocol.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, listed := range h.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	for name := range out {
		if strings.HasPrefix(name, "Acaciaspar-") {
			delete(out, name)
		}
	}
	return out
}
