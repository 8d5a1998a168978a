package fleethttp

import (
	"io"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// controlPrefix starts the path of every control message; request and answer
// bodies of callers travel on other paths.
const controlPrefix = "/twirp/"

// messageOverheadBytes stands for the HTTP/2 frames and compressed headers of
// one message. TestMessageOverhead counts 23 bytes on a warm connection without
// TLS; the rest allows for TLS records, window updates and pings.
const messageOverheadBytes = 64

// Traffic counts the control messages that a process sends and receives, as
// caller and as server.
type Traffic struct {
	sentBytes     metrics.Counter
	receivedBytes metrics.Counter
	messages      metrics.Counter
}

// NewTraffic registers the counters control.sent_bytes, control.received_bytes
// and control.messages.
func NewTraffic(registry metrics.Registry) *Traffic {
	return &Traffic{
		sentBytes:     metrics.NewRegisteredCounter("control.sent_bytes", registry),
		receivedBytes: metrics.NewRegisteredCounter("control.received_bytes", registry),
		messages:      metrics.NewRegisteredCounter("control.messages", registry),
	}
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
		t.message()
		r.Body = &countingBody{ReadCloser: r.Body, counter: t.receivedBytes}
		next.ServeHTTP(&countingWriter{ResponseWriter: w, counter: t.sentBytes}, r)
	})
}

// message counts one call: a request and a reply, each with its overhead.
func (t *Traffic) message() {
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
	c.traffic.message()
	if r.ContentLength > 0 {
		c.traffic.sentBytes.Inc(r.ContentLength)
	}
	resp, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &countingBody{ReadCloser: resp.Body, counter: c.traffic.receivedBytes}
	return resp, nil
}

// CloseIdleConnections lets http.Client reach the transport below.
func (c *countingTransport) CloseIdleConnections() {
	if closer, ok := c.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

type countingBody struct {
	io.ReadCloser
	counter metrics.Counter
}

func (c *countingBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.counter.Inc(int64(n))
	return n, err
}

type countingWriter struct {
	http.ResponseWriter
	counter metrics.Counter
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.counter.Inc(int64(n))
	return n, err
}

// Unwrap gives http.ResponseController the writer below.
func (c *countingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
