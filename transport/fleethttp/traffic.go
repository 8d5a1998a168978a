package fleethttp

import (
	"io"
	"net/http"
	"path"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// controlPrefix starts the path of every control message; request and answer
// bodies of callers travel on other paths.
const controlPrefix = "/twirp/"

// messageOverheadBytes stands for the HTTP/2 frames and compressed headers of
// one message. TestMessageOverhead counts 23 bytes on a warm connection without
// TLS; the rest allows for TLS records, window updates and pings.
const messageOverheadBytes = 64

// maxKinds bounds the kinds of messages with counters of their own. Callers
// choose the paths that a server sees.
const maxKinds = 32

// Traffic counts the control messages that a process sends and receives, as
// caller and as server.
type Traffic struct {
	sentBytes     metrics.Counter
	receivedBytes metrics.Counter
	messages      metrics.Counter

	registry metrics.Registry
	// mu guards kinds.
	mu    sync.Mutex
	kinds map[string]kind
}

// kind counts the messages of one twirp method, requests and replies, sent and
// received. The bytes are those of the bodies.
type kind struct {
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
		kinds:         map[string]kind{},
	}
}

// kindOf returns the counters of the method that a path names.
func (t *Traffic) kindOf(urlPath string) kind {
	name := path.Base(urlPath)
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.kinds[name]; !ok && len(t.kinds) >= maxKinds {
		name = "other"
	}
	k, ok := t.kinds[name]
	if !ok {
		k = kind{
			requestBytes: metrics.GetOrRegisterCounter("control."+name+".request_bytes", t.registry),
			replyBytes:   metrics.GetOrRegisterCounter("control."+name+".reply_bytes", t.registry),
			calls:        metrics.GetOrRegisterCounter("control."+name+".calls", t.registry),
		}
		t.kinds[name] = k
	}
	return k
}

// Client returns a client like hc whose control calls are counted.
func (t *Traffic) Client(hc *http.Client) *http.Client {
	counted := *hc
	counted.Transport = &countingTransport{next: hc.Transport, traffic: t}
	return &counted
}

// Handler counts the control calls that next serves.
func (t *Traffic) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, controlPrefix) {
			next.ServeHTTP(w, r)
			return
		}
		k := t.kindOf(r.URL.Path)
		t.message(k)
		r.Body = &countingBody{ReadCloser: r.Body, counters: counters{t.receivedBytes, k.requestBytes}}
		next.ServeHTTP(&countingWriter{ResponseWriter: w, counters: counters{t.sentBytes, k.replyBytes}}, r)
	})
}

// message counts one call: a request and a reply, each with its overhead.
func (t *Traffic) message(k kind) {
	k.calls.Inc(1)
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
	k := c.traffic.kindOf(r.URL.Path)
	c.traffic.message(k)
	if r.ContentLength > 0 {
		counters{c.traffic.sentBytes, k.requestBytes}.inc(r.ContentLength)
	}
	resp, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &countingBody{ReadCloser: resp.Body, counters: counters{c.traffic.receivedBytes, k.replyBytes}}
	return resp, nil
}

// CloseIdleConnections lets http.Client reach the transport below.
func (c *countingTransport) CloseIdleConnections() {
	if closer, ok := c.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// counters is the total of a direction and that of a kind.
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

// Unwrap gives http.ResponseController the writer below.
func (c *countingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
