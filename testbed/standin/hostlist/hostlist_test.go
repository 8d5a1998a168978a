package hostlist

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	client "github.com/acaciaspar/acaciaspar/transport/hostlist"
)

// Guards against a list that transport/hostlist can't read, and against a change
// that is visible before the lag has passed.
func TestChangeVisibleAfterLag(t *testing.T) {
	now := time.Unix(1_000, 0)
	service := New(Options{Lag: time.Second}, func() time.Time { return now })
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	fetch := func() []client.Host {
		hosts, err := client.Fetch(t.Context(), server.Client(), server.URL+"/hosts")
		must.NoError(t, err)
		return hosts
	}
	must.SliceEmpty(t, fetch())

	list := `[{"targets":["127.0.0.1:7001"],"labels":{"role":"router","zone":"duluth","state":"leaving"}}]`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/standin/hosts", strings.NewReader(list))
	must.NoError(t, err)
	resp, err := server.Client().Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusNoContent, resp.StatusCode)

	must.SliceEmpty(t, fetch())
	now = now.Add(time.Second)
	must.Eq(t, []client.Host{{Address: "127.0.0.1:7001", Role: "router", Zone: "duluth", Leaving: true}}, fetch())
}
