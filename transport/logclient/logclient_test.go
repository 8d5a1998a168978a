package logclient

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// newTestClient returns a client of a log served by handler.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return New(s.URL, s.Client())
}

// Guards against requests and replies that differ from the interface of the Kafka
// REST Proxy.
func TestAppendAndRead(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.RequestURI() {
		case "POST /topics/a.b/partitions/0":
			body, _ := io.ReadAll(r.Body)
			must.Eq(t, `{"records":[{"value":"aGk="}]}`, string(body))
			_, _ = io.WriteString(w, `{"offsets":[{"partition":0,"offset":7,"error_code":null,"error":null}]}`)
		case "GET /topics/a.b/partitions/0/messages?count=10&offset=7":
			_, _ = io.WriteString(w, `[{"key":null,"value":"aGk=","partition":0,"offset":7}]`)
		case "GET /topics/a.b/partitions/0/offsets":
			_, _ = io.WriteString(w, `{"beginning_offset":3,"end_offset":8}`)
		default:
			t.Errorf("unexpected call %s %s", r.Method, r.URL)
		}
	})
	offsets, err := c.Append(t.Context(), "a.b", []byte("hi"))
	must.NoError(t, err)
	must.Eq(t, []int64{7}, offsets)
	records, err := c.Read(t.Context(), "a.b", 7, 10)
	must.NoError(t, err)
	must.Eq(t, []Record{{Offset: 7, Value: []byte("hi")}}, records)
	beginning, end, err := c.Offsets(t.Context(), "a.b")
	must.NoError(t, err)
	must.Eq(t, []int64{3, 8}, []int64{beginning, end})
}

// Guards against reporting an append as refused when the log may have executed it.
func TestAppendIsRefusedOnlyOnDefiniteRefusal(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		refused bool
	}{
		{"rate limit", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, true},
		{"unavailable", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, false},
		{"internal error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, false},
		{"gateway timeout", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGatewayTimeout) }, false},
		{"lost reply", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
		{"truncated reply", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"offsets":[`) }, false},
		{"missing offset", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"offsets":[]}`) }, false},
		{"request timeout", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestTimeout) }, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := newTestClient(t, tc.handler).Append(t.Context(), "t", []byte("x"))
			must.Error(t, err)
			must.Eq(t, tc.refused, IsRefused(err))
		})
	}
}

// Guards against reporting an expired offset as the end of the topic.
func TestReadOfExpiredOffset(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
	})
	_, err := c.Read(t.Context(), "t", 1, 10)
	var expired *ExpiredError
	must.True(t, errors.As(err, &expired))
	must.Eq(t, 1, expired.Offset)
}
