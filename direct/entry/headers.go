package entry

import (
	"errors"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
)

// hopHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes hop-by-hop headers, including those that the
// Connection header names. Headers in keep can't be removed by naming them there.
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

// endpointHeader returns the headers of the request to an endpoint.
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
	remaining := max(r.deadline.Sub(now).Milliseconds(), 1)
	h[d.DeadlineRemaining] = []string{strconv.FormatInt(remaining, 10)}
	return h
}

// repeatableMaxIdle and singleExecutionMaxIdle bound the idle time of a connection
// that is reused for a request. An endpoint may close an idle connection without
// notice, and a request that may be executed only once must not be lost on one.
const (
	repeatableMaxIdle      = 4 * time.Second
	singleExecutionMaxIdle = 500 * time.Millisecond
)

func (r *request) endpointRequest(a *attempt, now time.Time) *endpointhttp.Request {
	instance := a.assignment.Endpoint.ID
	idle := repeatableMaxIdle
	if !r.route.Repeatable() {
		idle = singleExecutionMaxIdle
	}
	return &endpointhttp.Request{
		Verify: r.verification(a.assignment.Endpoint),
		Method: r.in.Method, URI: r.uri(), Host: r.in.Host,
		Header: r.endpointHeader(instance, now), Body: r.body,
		ID: r.id, IDHeader: r.h.Dialect.RequestID, MaxIdleTime: idle,
		Recheck: func(unread func() bool) error {
			a.unread.Store(&unread)
			a.assignment.Sent(time.Now())
			if err := r.recheck(a.assignment); err != nil {
				return err
			}
			r.handedOver.Store(true)
			return nil
		},
	}
}

// verification returns the verification of a connection on which the request is sent, or nil if any
// incarnation of the endpoint may get it.
func (r *request) verification(e registry.Endpoint) *endpointhttp.Verification {
	if !r.isResumable() || r.h.Verification == nil {
		return nil
	}
	v := r.h.Verification(e)
	if v == nil {
		return nil
	}
	check := v.Check
	v.Check = func(status int, body []byte) error {
		err := check(status, body)
		if err == nil || errors.Is(err, endpointhttp.ErrCannotVerify) {
			return err
		}
		return errUnverified
	}
	return v
}

// copyResponseHeader copies the headers of an endpoint's response to the caller's
// response, right before they are written.
func (r *request) copyResponseHeader(from http.Header) {
	h := from.Clone()
	d := &r.h.Dialect
	removeHopHeaders(h, map[string]bool{d.Signature: true, d.RequestID: true})
	delete(h, "Content-Length")
	to := r.w.Header()
	for name, values := range h {
		to[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the HTTP server from detecting a type.
		to["Content-Type"] = nil
	}
	r.announceReuse()
}
