package entry_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
)

// Guards against a success without its signature because the endpoint lists the headers that
// belong to the answer in its Connection header.
func TestSignatureListedInConnectionIsForwarded(t *testing.T) {
	for _, path := range []string{"/order/1", "/lookup/1", "/stream/1", "/resumable/1"} {
		r := newRouter(t)
		script := func(c net.Conn, call *directtest.Call) bool {
			directtest.Respond(c, call, http.StatusOK, "ok", "Connection: "+headers.Signature+", "+headers.RequestID)
			return true
		}
		r.add("p1", "plain", script)
		r.add("e1", "engines", script)
		got := r.post(path)
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, "sig", got.header.Get(headers.Signature), must.Sprint(path))
		must.Eq(t, "id-1", got.header.Get(headers.RequestID), must.Sprint(path))
		must.Eq(t, "ok", got.body)
	}
}
