package logservice

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/transport/logclient"
)

const topicName = "acaciaspar.config"

type fixture struct {
	service *Service
	client  *logclient.Client
	url     string
	// elapsed advances the service's clock, in nanoseconds.
	elapsed atomic.Int64
}

func start(t *testing.T, options Options) *fixture {
	t.Helper()
	f := &fixture{}
	f.service = New(options, func() time.Time { return time.Unix(1_000, f.elapsed.Load()) })
	server := httptest.NewServer(f.service.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	f.client = logclient.New(server.URL, server.Client())
	return f
}

func defaults() Options { return Options{RetainFor: time.Hour, RetainCount: 100} }

func (f *fixture) append(t *testing.T, values ...string) error {
	t.Helper()
	var raw [][]byte
	for _, v := range values {
		raw = append(raw, []byte(v))
	}
	_, err := f.client.Append(t.Context(), topicName, raw...)
	return err
}

// Guards against a stand-in whose interface differs from what transport/logclient
// expects.
func TestAppendAndReadWithLogClient(t *testing.T) {
	f := start(t, defaults())
	offsets, err := f.client.Append(t.Context(), topicName, []byte("a"), []byte("b"))
	must.NoError(t, err)
	must.Eq(t, []int64{0, 1}, offsets)
	must.NoError(t, f.append(t, "c"))

	records, err := f.client.Read(t.Context(), topicName, 1, 10)
	must.NoError(t, err)
	must.Eq(t, []logclient.Record{{Offset: 1, Value: []byte("b")}, {Offset: 2, Value: []byte("c")}}, records)
	records, err = f.client.Read(t.Context(), topicName, 3, 10)
	must.NoError(t, err)
	must.SliceEmpty(t, records)
	beginning, end, err := f.client.Offsets(t.Context(), topicName)
	must.NoError(t, err)
	must.Eq(t, []int64{0, 3}, []int64{beginning, end})
}

// Guards against offsets that change when records expire.
func TestOffsetsStableAcrossExpiry(t *testing.T) {
	f := start(t, Options{RetainFor: time.Minute, RetainCount: 2})
	must.NoError(t, f.append(t, "a"))
	must.NoError(t, f.append(t, "b"))
	must.NoError(t, f.append(t, "c"))
	_, err := f.client.Read(t.Context(), topicName, 0, 10)
	var expired *logclient.ExpiredError
	must.True(t, errors.As(err, &expired))

	f.elapsed.Store(int64(time.Minute))
	beginning, end, err := f.client.Offsets(t.Context(), topicName)
	must.NoError(t, err)
	must.Eq(t, []int64{3, 3}, []int64{beginning, end})
	offsets, err := f.client.Append(t.Context(), topicName, []byte("d"))
	must.NoError(t, err)
	must.Eq(t, []int64{3}, offsets)
}

func TestRateLimitedAppendHasNoEffect(t *testing.T) {
	options := defaults()
	options.AppendsPerSecond = 2
	f := start(t, options)
	must.NoError(t, f.append(t, "a"))
	must.NoError(t, f.append(t, "b"))
	err := f.append(t, "c")
	must.True(t, logclient.IsRefused(err))
	f.elapsed.Store(int64(time.Second))
	must.NoError(t, f.append(t, "d"))
	_, end, err := f.client.Offsets(t.Context(), topicName)
	must.NoError(t, err)
	must.Eq(t, 3, end)
}

// Guards against faults whose effect differs from the comments of Faults.
func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  Faults
		refused bool
		wantEnd int64
	}{
		// A 503 can come from a proxy in front of the log, so the client treats the
		// result as unknown.
		{"outage", Faults{Outage: true}, false, 0},
		{"refuse", Faults{Refuse: true}, true, 0},
		{"lost reply", Faults{LoseAppendReplies: 1}, false, 1},
		{"dropped append", Faults{DropAppends: 1}, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, defaults())
			f.putFaults(t, c.faults)
			err := f.append(t, "a")
			must.Error(t, err)
			must.Eq(t, c.refused, logclient.IsRefused(err))
			f.putFaults(t, Faults{})
			_, end, err := f.client.Offsets(t.Context(), topicName)
			must.NoError(t, err)
			must.Eq(t, c.wantEnd, end)
			must.NoError(t, f.append(t, "b"))
		})
	}
}

func (f *fixture) putFaults(t *testing.T, faults Faults) {
	t.Helper()
	body, err := json.Marshal(faults)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, f.put(t, string(body)))
}

func (f *fixture) put(t *testing.T, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, f.url+"/standin/faults", strings.NewReader(body))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against a misspelled fault name that is silently ignored.
func TestUnknownFaultIsRejected(t *testing.T) {
	f := start(t, defaults())
	must.Eq(t, http.StatusBadRequest, f.put(t, `{"outtage":true}`))
}

// Guards against a request that takes effect while Hang is set, or stays blocked
// after it is cleared.
func TestHangBlocksRequestsUntilCleared(t *testing.T) {
	f := start(t, defaults())
	f.service.SetFaults(Faults{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := make(chan error, 1)
	go func() {
		_, err := f.client.Append(ctx, topicName, []byte("canceled"))
		cancelled <- err
	}()
	blocked := make(chan error, 1)
	go func() { blocked <- f.append(t, "blocked") }()
	cancel()
	must.ErrorIs(t, <-cancelled, context.Canceled)
	f.service.SetFaults(Faults{})
	must.NoError(t, <-blocked)
}
