package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/transport/sockettest"
)

// startSlowEndpoint returns the URL of an endpoint whose sockets hold a small part of a body. handle gets
// each request before its body is read.
func startSlowEndpoint(t *testing.T, handle func(c *net.TCPConn, in *http.Request)) string {
	t.Helper()
	l := sockettest.Listen(t)
	go sockettest.ServeRequests(l, handle)
	return "http://" + l.Addr().String()
}

// unframedHead is the beginning of a response without a length.
func unframedHead(contentType string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n\r\n"
}

var serviceKinds = []struct {
	service     objects.ServiceType
	contentType string
}{{objects.PlainService, "application/json"}, {objects.ModelService, "text/event-stream"}}

// Guards against a part of a response that is passed to the router as a complete one, since the endpoint
// reset the connection while the request was still being written.
func TestResetDuringTheUploadIsNoCompleteResponse(t *testing.T) {
	const part = "data: one\n\n"
	for _, kind := range serviceKinds {
		for _, size := range []int{100_000, 250_000, 500_000} {
			for _, delay := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d bytes, after %v", kind.contentType, size, delay), func(t *testing.T) {
					url := startSlowEndpoint(t, func(c *net.TCPConn, _ *http.Request) {
						_, _ = io.WriteString(c, unframedHead(kind.contentType)+part)
						time.Sleep(delay)
						_ = c.SetLinger(0)
					})
					f := startFixture(t, options{url: url, service: kind.service})
					f.body = strings.Repeat("x", size)
					resp, err := f.send(t.Context(), f.header(f.token()))
					if err != nil {
						return
					}
					defer resp.Body.Close()
					body, err := io.ReadAll(resp.Body)
					if err == nil {
						must.NotEq(t, "", resp.Header.Get(outcome.Header)+resp.Trailer.Get(outcome.Header), must.Sprintf("complete with %q", body))
					}
				})
			}
		}
	}
}

// Guards against a sound response without a length that is taken for a broken one since the endpoint
// answers first and reads the rest of the request later.
func TestEarlyResponseWithoutALengthIsComplete(t *testing.T) {
	const all = "data: one\n\ndata: [DONE]\n\n"
	for _, kind := range serviceKinds {
		t.Run(kind.contentType, func(t *testing.T) {
			url := startSlowEndpoint(t, func(c *net.TCPConn, in *http.Request) {
				_, _ = io.WriteString(c, unframedHead(kind.contentType)+all)
				_ = c.CloseWrite()
				time.Sleep(20 * time.Millisecond)
				_, _ = io.Copy(io.Discard, in.Body)
			})
			f := startFixture(t, options{url: url, service: kind.service})
			f.body = strings.Repeat("x", 500_000)
			resp, body := f.sendAndRead(f.header(f.token()))
			must.Eq(t, http.StatusOK, resp.StatusCode)
			must.Eq(t, all, body)
		})
	}
}

// Guards against a response with a status that HTTP doesn't define and that reaches the router.
func TestUndefinedStatusIsNotForwarded(t *testing.T) {
	for _, kind := range serviceKinds {
		for _, status := range []string{"000", "099", "600"} {
			t.Run(kind.contentType+", "+status, func(t *testing.T) {
				url := startSlowEndpoint(t, func(c *net.TCPConn, in *http.Request) {
					_, _ = io.Copy(io.Discard, in.Body)
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nContent-Type: "+kind.contentType+"\r\nContent-Length: 2\r\n\r\nok")
				})
				f := startFixture(t, options{url: url, service: kind.service})
				f.mustGetOutcome(f.header(f.token()), outcome.Unknown, http.StatusBadGateway)
			})
		}
	}
}
