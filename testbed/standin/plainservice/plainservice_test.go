package plainservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

type fixture struct{ server *httptest.Server }

func start(t *testing.T, options Options) *fixture {
	t.Helper()
	server := httptest.NewServer(New(options).Handler())
	t.Cleanup(server.Close)
	return &fixture{server: server}
}

func (f *fixture) call(ctx context.Context, method, path, body string, header ...string) (status int, reply string, err error) {
	req, err := http.NewRequestWithContext(ctx, method, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := f.server.Client().Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func (f *fixture) executions(t *testing.T) Executions {
	t.Helper()
	_, reply, err := f.call(t.Context(), http.MethodGet, "/standin/executions", "")
	must.NoError(t, err)
	var out Executions
	must.NoError(t, json.Unmarshal([]byte(reply), &out))
	return out
}

// Guards against executions that are not recorded or can't be distinguished.
func TestExecutionsAreRecorded(t *testing.T) {
	f := start(t, Options{ListExecutions: true})
	status, reply, err := f.call(t.Context(), http.MethodPost, "/bookings", `{"id":"b1"}`, "X-Request-Id", "r1", "Idempotency-Key", "k1")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	must.StrContains(t, reply, `"id":"b1"`)
	status, _, err = f.call(t.Context(), http.MethodGet, "/stock?id=s1", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	status, _, err = f.call(t.Context(), http.MethodPost, "/labels", `{}`)
	must.NoError(t, err)
	must.Eq(t, http.StatusBadRequest, status)

	want := Executions{
		Counts: map[string]map[string]int{"bookings": {"b1": 1}, "stock": {"s1": 1}},
		List: []Execution{
			{Operation: "bookings", ID: "b1", Request: "r1", IdempotencyKey: "k1"},
			{Operation: "stock", ID: "s1"},
		},
	}
	must.Eq(t, want, f.executions(t))
}

// Guards against a lost reply whose request had no effect, or that is still sent.
func TestLostReplyTakesEffect(t *testing.T) {
	f := start(t, Options{})
	status, _, err := f.call(t.Context(), http.MethodPut, "/standin/faults", `{"loseReplies":1}`)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	_, _, err = f.call(t.Context(), http.MethodPost, "/bookings", `{"id":"b1"}`)
	must.Error(t, err)
	_, _, err = f.call(t.Context(), http.MethodPost, "/bookings", `{"id":"b2"}`)
	must.NoError(t, err)
	must.Eq(t, map[string]map[string]int{"bookings": {"b1": 1, "b2": 1}}, f.executions(t).Counts)
}

// Guards against accepting requests of an older agent, and against a rejected
// request that takes effect.
func TestOlderFencingNumberIsRejected(t *testing.T) {
	f := start(t, Options{CheckFencing: true})
	cases := []struct {
		number string
		status int
	}{
		{"5", http.StatusOK},
		{"4", http.StatusPreconditionFailed},
		{"5", http.StatusOK},
		{"x", http.StatusPreconditionRequired},
	}
	for _, c := range cases {
		status, _, err := f.call(t.Context(), http.MethodPost, "/bookings", `{"id":"b1"}`, "X-Fencing-Number", c.number)
		must.NoError(t, err)
		must.Eq(t, c.status, status)
	}
	must.Eq(t, 2, f.executions(t).Counts["bookings"]["b1"])
}
