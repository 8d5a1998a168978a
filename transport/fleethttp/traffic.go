package fleethttp

import (
	"io"
	"net/http"
	"path"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// controlPrefix is the path prefix of control messages. Request and response
// bodies of callers are sent on other paths.
const controlPrefix = "/twirp/"

// messageOverheadBytes is the estimated size of the HTTP/2 frames and compressed
// headers of one message. TestMessageOverhead counts 23 bytes on an established
// connection without TLS; the rest allows for TLS records, window updates and
// pings.
const messageOverheadBytes = 64

// maxMethods is the maximum number of methods with separate counters. It is
// needed because clients choose the paths that a server receives.
const maxMethods = 32

// Traffic counts the control messages that a process sends and receives, as
// client and as server.
type Traffic struct {
	sentBytes     metrics.Counter
	receivedBytes metrics.Counter
	messages      metrics.Counter

	registry metrics.Registry
	// mu guards methods.
	mu      sync.Mutex
	methods map[string]methodCounters
}

// methodCounters holds the counters of one twirp method, for calls sent and
// received. The byte counters cover the message bodies only.
type methodCounters struct {
	requestBytes metrics.Counter
	replyBytes   metrics.Counter
	calls        metrics.Counter
}

// NewTraffic registers the counters control.sent_bytes, control.received_bytes
// and control.messages, and for each method control.METHOD.request_bytes,
// control.METHOD.reply_bytes and control.METHOD.calls.
func NewTraffic(registry metrics.Registry) *Traffic {
	return &Traffic{
		sentBytes:     metrics.NewRegisteredCounter("control.sent_bytes", registry),
		receivedBytes: metrics.NewRegisteredCounter("control.received_bytes", registry),
		messages:      metrics.NewRegisteredCounter("control.messages", registry),
		registry:      registry,
		methods:       map[string]methodCounters{},
	}
}

// countersFor returns the counters of the method in urlPath. Beyond maxMethods
// methods it returns those of "other".
func (t *Traffic) countersFor(urlPath string) methodCounters {
	name := path.Base(urlPath)
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.methods[name]; !ok && len(t.methods) >= maxMethods {
		name = "other"
	}
	m, ok := t.methods[name]
	if !ok {
		m = methodCounters{
			requestBytes: metrics.GetOrRegisterCounter("control."+name+".request_bytes", t.registry),
			replyBytes:   metrics.GetOrRegisterCounter("control."+name+".reply_bytes", t.registry),
			calls:        metrics.GetOrRegisterCounter("control."+name+".calls", t.registry),
		}
		t.methods[name] = m
	}
	return m
}

// Client returns a copy of hc that counts its control calls.
func (t *Traffic) Client(hc *http.Client) *http.Client {
	counted := *hc
	counted.Transport = &countingTransport{next: hc.Transport, traffic: t}
	return &counted
}

// Handler returns a handler that counts the control calls served by next.
func (t *Traffic) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, controlPrefix) {
			next.ServeHTTP(w, r)
			return
		}
		m := t.countersFor(r.URL.Path)
		t.countCall(m)
		r.Body = &countingBody{ReadCloser: r.Body, counters: counters{t.receivedBytes, m.requestBytes}}
		next.ServeHTTP(&countingWriter{ResponseWriter: w, counters: counters{t.sentBytes, m.replyBytes}}, r)
	})
}

// countCall counts one call: a request and a reply, each with its overhead.
func (t *Traffic) countCall(m methodCounters) {
	m.calls.Inc(1)
	t.messages.Inc(2)
	t.sentBytes.Inc(messageOverheadBytes)
	t.receivedBytes.Inc(messageOverheadBytes)
}

type countingTransport struct {
	next    http.RoundTripper
	traffic *Traffic
}

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !strings.HasPrefix(r.URL.Path, controlPrefix) {
		return c.next.RoundTrip(r)
	}
	m := c.traffic.countersFor(r.URL.Path)
	c.traffic.countCall(m)
	if r.ContentLength > 0 {
		counters{c.traffic.sentBytes, m.requestBytes}.inc(r.ContentLength)
	}
	resp, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &countingBody{ReadCloser: resp.Body, counters: counters{c.traffic.receivedBytes, m.replyBytes}}
	return resp, nil
}

// CloseIdleConnections passes the call of http.Client on to the wrapped transport.
func (c *countingTransport) CloseIdleConnections() {
	if closer, ok := c.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// counters holds the counter of all bytes in one direction and the counter of
// one method.
type counters [2]metrics.Counter

func (c counters) inc(n int64) {
	c[0].Inc(n)
	c[1].Inc(n)
}

type countingBody struct {
	io.ReadCloser
	counters counters
}

func (c *countingBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.counters.inc(int64(n))
	return n, err
}

type countingWriter struct {
	http.ResponseWriter
	counters counters
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.counters.inc(int64(n))
	return n, err
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (c *countingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
