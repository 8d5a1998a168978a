package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
)

// refusalTo returns a refusal of the request with this identifier, or one without an
// identifier if id is empty.
func refusalTo(id string) string {
	echo := ""
	if id != "" {
		echo = headers.RequestID + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + echo + headers.NotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
}

// Guards against an earlier refusal, written once more on a kept connection, that is taken
// for the answer to a request that runs: its caller would be told that it has not run, or it
// would run at a second endpoint.
func TestRepeatedRefusalIsNotTheAnswer(t *testing.T) {
	for name, repeated := range map[string]string{
		"with its identifier": refusalTo("earlier"),
		"twice":               refusalTo("earlier") + refusalTo("earlier"),
		"without identifier":  refusalTo(""),
	} {
		for _, answers := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, answers %v", name, answers), func(t *testing.T) {
				r := newRouter(t)
				script := func(c net.Conn, call *directtest.Call) bool {
					if call.ID() == "first" {
						return ok(c, call)
					}
					_, _ = io.WriteString(c, repeated)
					if answers {
						directtest.Respond(c, call, http.StatusOK, "done")
					}
					return answers
				}
				e1, e2 := r.add("e1", "plain", script), r.add("e2", "plain", script)
				for range 4 {
					first := r.request(http.MethodPost, "/order/x", "a")
					first.Header.Set(headers.RequestID, "first")
					must.Eq(t, http.StatusOK, r.do(first).status)
				}
				before := len(e1.Calls()) + len(e2.Calls())
				second := r.request(http.MethodPost, "/order/x", "b")
				second.Header.Set(headers.RequestID, "second")
				got := r.do(second)
				if answers {
					must.Eq(t, "done", got.body)
				} else {
					must.Eq(t, http.StatusBadGateway, got.status, must.Sprint("it may have run"))
				}
				must.Eq(t, 1, len(e1.Calls())+len(e2.Calls())-before, must.Sprint("endpoints that received it"))
			})
		}
	}
}

// Guards against trusting a refusal that doesn't name its request, on a new connection:
// its caller would be told that the request has not run, or it would run twice.
func TestRefusalWithoutIdentifierIsNoPromise(t *testing.T) {
	r := newRouter(t)
	script := func(c net.Conn, _ *directtest.Call) bool {
		_, _ = io.WriteString(c, refusalTo(""))
		return false
	}
	e1, e2 := r.add("e1", "plain", script), r.add("e2", "plain", script)
	must.Eq(t, http.StatusBadGateway, r.post("/order/x").status)
	must.Eq(t, 1, len(e1.Calls())+len(e2.Calls()))
}

// Guards against the answer of a second endpoint that is no continuation, an error or a
// success of another type, appearing in the middle of a stream, and against a stream that
// then ends as if it were complete.
func TestOnlyEventsContinueAStream(t *testing.T) {
	success := "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\n"
	for name, answer := range map[string]string{
		"error":            "HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\n%s: sig\r\nContent-Length: 5\r\n\r\nerror",
		"error, chunked":   "HTTP/1.1 502 Bad Gateway\r\n%s: %s\r\n%s: sig\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nerror\r\n0\r\n\r\n",
		"not found":        "HTTP/1.1 404 Not Found\r\n%s: %s\r\n%s: sig\r\nContent-Type: text/event-stream\r\nContent-Length: 5\r\n\r\nerror",
		"refusal":          "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: sig\r\nContent-Length: 5\r\n\r\nerror",
		"plain success":    success + "Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nerror",
		"untyped success":  success + "Content-Length: 5\r\n\r\nerror",
		"no content":       strings.Replace(success, "200 OK", "204 No Content", 1) + "\r\n",
		"empty, unframed":  success + "\r\n",
		"bytes, no answer": "error %s %s %s\r\n\r\n",
		"head cut":         success + "Content-Type: text/event-str",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			var calls atomic.Int32
			script := func(c net.Conn, call *directtest.Call) bool {
				if calls.Add(1) == 1 {
					directtest.BeginStream(c, call)
					directtest.Chunk(c, directtest.Event(1)+directtest.Event(2))
					return false
				}
				_, _ = fmt.Fprintf(c, answer, headers.RequestID, call.ID(), headers.Signature)
				return false
			}
			r.add("e1", "engines", script)
			r.add("e2", "engines", script)
			got, _ := r.stream("id-1", "/resumable/x")
			must.Eq(t, eventsFrom(1, 2), got.body)
			must.Error(t, got.err, must.Sprint("the stream must not look complete"))
		})
	}
}

// Guards against an endpoint that counts as busy for good, and gets no more requests, because its
// response couldn't be forwarded and the request's handler ended by a panic.
func TestResponseThatCannotBeForwardedEndsItsAttempt(t *testing.T) {
	for _, path := range []string{"/resumable/1", "/stream/1", "/order/1", "/lookup/1"} {
		for _, status := range []string{"000", "099"} {
			for _, length := range []int{0, 10, 300 << 10} {
				r := newRouter(t)
				fault := func(c net.Conn, call *directtest.Call) bool {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", status, headers.RequestID, call.ID(),
						headers.Signature, length, strings.Repeat("x", length))
					return true
				}
				r.addVersion("e1", "engines", "v1", fault)
				r.addVersion("p1", "plain", "v1", fault)
				got := r.post(path)
				must.Between(t, 500, got.status, 599, must.Sprint(path, status, length, got.err))
				must.MapEmpty(t, r.handler.Dispatcher.Report(time.Now()).Loads, must.Sprint(path, status, length))
			}
		}
	}
}

// panicWriter panics when the response begins, as the HTTP server does for some responses.
type panicWriter struct{ http.ResponseWriter }

func (panicWriter) WriteHeader(int) { panic("the response can't be written") }

// Guards against the same, whatever the reason of a panic.
func TestPanicEndsTheAttempt(t *testing.T) {
	for _, path := range []string{"/resumable/1", "/stream/1", "/order/1"} {
		r := newRouter(t)
		r.addVersion("e1", "engines", "v1", streamFrom("v1", 4, 4))
		r.addVersion("p1", "plain", "v1", func(c net.Conn, call *directtest.Call) bool {
			directtest.Respond(c, call, http.StatusOK, "answer")
			return true
		})
		in := r.request(http.MethodPost, path, "body")
		in.RequestURI = path
		func() {
			defer func() { must.NotNil(t, recover()) }()
			r.handler.ServeHTTP(panicWriter{httptest.NewRecorder()}, in)
		}()
		must.MapEmpty(t, r.handler.Dispatcher.Report(time.Now()).Loads, must.Sprint(path))
	}
}
