package entry

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
)

// hopHeaders concern only one connection (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes what concerns only one connection, except the
// headers in keep, which a caller can't switch off by naming them.
func removeHopHeaders(h http.Header, keep map[string]bool) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if name != "" && !keep[name] {
				delete(h, name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// endpointHeader returns the headers of the request as an endpoint gets them.
func (r *request) endpointHeader(instance string, now time.Time) http.Header {
	d := &r.h.Dialect
	h := r.in.Header.Clone()
	keep := map[string]bool{d.RequestID: true, d.PromptParts: true, d.TokenCounts: true, d.LengthHint: true}
	for _, name := range d.Required {
		keep[name] = true
	}
	removeHopHeaders(h, keep)
	for _, name := range d.Reserved {
		delete(h, name)
	}
	for _, name := range []string{"Authorization", "Content-Length", "Host", "Expect", d.Team, d.ExpectedInstance} {
		delete(h, name)
	}
	if r.team != "" {
		h[d.Team] = []string{r.team}
	}
	h[d.ExpectedInstance] = []string{instance}
	left := max(r.deadline.Sub(now).Milliseconds(), 1)
	h[d.DeadlineRemaining] = []string{strconv.FormatInt(left, 10)}
	return h
}

// freshIdle and reuseIdle bound the idleness of a connection that carries a
// request. An endpoint may drop an idle connection without notice, and a
// request that may run only once must not be lost on one.
const (
	reuseIdle = 4 * time.Second
	freshIdle = 500 * time.Millisecond
)

func (r *request) endpointRequest(instance string, now time.Time) *endpointhttp.Request {
	idle := reuseIdle
	if !r.route.Repeatable() {
		idle = freshIdle
	}
	return &endpointhttp.Request{
		Method: r.in.Method, URI: r.uri(), Host: r.in.Host,
		Header: r.endpointHeader(instance, now), Body: r.body,
		ID: r.id, IDHeader: r.h.Dialect.RequestID, MaxIdle: idle, Abandoned: r.hungUpMeanwhile,
	}
}

// copyAnswerHeader sets the headers of an endpoint's answer for the caller.
func (r *request) copyAnswerHeader(from http.Header) {
	h := from.Clone()
	removeHopHeaders(h, nil)
	delete(h, "Content-Length")
	to := r.w.Header()
	for name, values := range h {
		to[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the server from guessing a type.
		to["Content-Type"] = nil
	}
}
