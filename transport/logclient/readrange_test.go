package logclient_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/transport/logclient"
	"github.com/acaciaspar/acaciaspar/transport/logclient/logtest"
)

// Guards against failing to read a range whose records together exceed the limit
// of one reply, and against missing or duplicate records.
func TestReadRangeReducesBatchAfterError(t *testing.T) {
	log := &logtest.Log{}
	for i := range 300 {
		log.Append([]byte(strconv.Itoa(i)))
	}
	log.Expire(20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if count, _ := strconv.Atoi(r.URL.Query().Get("count")); count > 3 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		log.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	client := logclient.New(server.URL, server.Client())
	records, err := client.ReadRange(context.Background(), "t", 20, 300)
	must.NoError(t, err)
	must.Len(t, 280, records)
	for i, r := range records {
		must.Eq(t, int64(i+20), r.Offset)
		must.Eq(t, strconv.Itoa(i+20), string(r.Value))
	}
	_, err = client.ReadRange(context.Background(), "t", 0, 300)
	var expired *logclient.ExpiredError
	must.True(t, errors.As(err, &expired))
}
