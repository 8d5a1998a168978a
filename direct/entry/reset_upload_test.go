package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/transport/sockettest"
)

// addSlow adds an endpoint whose sockets hold a small part of a body. handle gets each request before its
// body is read.
func (r *router) addSlow(id, service string, handle func(c *net.TCPConn, in *http.Request)) {
	r.t.Helper()
	l := sockettest.Listen(r.t)
	go sockettest.ServeRequests(l, handle)
	r.endpoints.Put(registry.Endpoint{ID: id, Service: service, Address: l.Addr().String(), Zone: "z", Version: "v1", Slots: 4})
}

// unframedHead is the beginning of a response without a length.
func unframedHead(in *http.Request, status, contentType string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: sig\r\nContent-Type: %s\r\n\r\n", status, headers.RequestID, in.Header.Get(headers.RequestID),
		headers.Signature, contentType)
}

// routeKinds are the paths of one route of each kind, with the content type of their responses.
var routeKinds = []struct{ name, path, service, contentType string }{
	{"safe", "/lookup/1", "plain", "application/json"},
	{"unsafe", "/order/1", "plain", "application/json"},
	{"stream", "/stream/1", "engines", "text/event-stream"},
	{"resumable stream", "/resumable/1", "engines", "text/event-stream"},
	{"plain response on a stream", "/stream/1", "engines", "application/json"},
}

// Guards against a part of a response that reaches its caller as a complete response, since its endpoint
// reset the connection while the request was still being written.
func TestResetDuringTheUploadIsNoCompleteResponse(t *testing.T) {
	const part = "id: 1\ndata: v1\n\n"
	for _, kind := range routeKinds {
		for _, size := range []int{100_000, 250_000, 500_000} {
			for _, delay := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d bytes, after %v", kind.name, size, delay), func(t *testing.T) {
					t.Parallel()
					r := newRouter(t)
					for _, id := range []string{"e1", "e2"} {
						r.addSlow(id, kind.service, func(c *net.TCPConn, in *http.Request) {
							_, _ = io.WriteString(c, unframedHead(in, "200 OK", kind.contentType)+part)
							time.Sleep(delay)
							_ = c.SetLinger(0)
						})
					}
					got := r.do(r.request(http.MethodPost, kind.path, strings.Repeat("x", size)))
					if got.err == nil {
						must.NotEq(t, http.StatusOK, got.status, must.Sprintf("complete with %q", got.body))
						must.NotEq(t, "", got.header.Get("Acaciaspar-Outcome"))
					}
				})
			}
		}
	}
}

// Guards against a sound response without a length that is taken for a broken one since its endpoint
// answers first and reads the rest of the request later.
func TestEarlyResponseWithoutALengthIsComplete(t *testing.T) {
	const events = "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n"
	for _, kind := range routeKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			r := newRouter(t)
			r.addSlow("e1", kind.service, func(c *net.TCPConn, in *http.Request) {
				_, _ = io.WriteString(c, unframedHead(in, "200 OK", kind.contentType)+events)
				_ = c.CloseWrite()
				time.Sleep(20 * time.Millisecond)
				_, _ = io.Copy(io.Discard, in.Body)
			})
			got := r.do(r.request(http.MethodPost, kind.path, strings.Repeat("x", 500_000)))
			must.NoError(t, got.err)
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, events, got.body)
		})
	}
}

// Guards against a response with a status that HTTP doesn't define and that reaches the caller.
func TestUndefinedStatusIsNotForwarded(t *testing.T) {
	for _, kind := range routeKinds {
		for _, status := range []string{"000", "099", "600"} {
			for _, framing := range []string{"Content-Length: 2\r\n", ""} {
				t.Run(fmt.Sprintf("%s, %s, %q", kind.name, status, framing), func(t *testing.T) {
					t.Parallel()
					r := newRouter(t)
					for _, id := range []string{"e1", "e2"} {
						r.add(id, kind.service, func(c net.Conn, call *directtest.Call) bool {
							_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\n%s: %s\r\n%s: sig\r\nContent-Type: %s\r\n%s\r\nok", status,
								headers.RequestID, call.ID(), headers.Signature, kind.contentType, framing)
							return false
						})
					}
					got := r.post(kind.path)
					must.NoError(t, got.err)
					must.Eq(t, http.StatusBadGateway, got.status)
				})
			}
		}
	}
}
