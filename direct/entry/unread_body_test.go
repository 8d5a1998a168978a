package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/state/registry"
)

// Guards against a request that may run only once and is ended long before its deadline because
// its endpoint, which is sound, doesn't read a long body for a while.
func TestEndpointThatReadsALongBodyLateIsNotCut(t *testing.T) {
	const (
		pause     = 3500 * time.Millisecond
		bodyBytes = 1 << 20
	)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		time.Sleep(pause)
		in, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, in.Body)
		if err != nil {
			return
		}
		text := fmt.Sprint(n)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\nContent-Length: %d\r\n\r\n%s",
			headers.RequestID, in.Header.Get(headers.RequestID), headers.Signature, len(text), text)
	}()
	r := newRouter(t)
	r.endpoints.Put(registry.Endpoint{ID: "e", Service: "plain", Address: l.Addr().String(), Zone: "z", Version: "v1", Slots: 4})
	began := time.Now()
	got := r.do(r.request(http.MethodPost, "/order/1", strings.Repeat("x", bodyBytes)))
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status, must.Sprintf("after %v: %s", time.Since(began), got.body))
	must.Eq(t, fmt.Sprint(bodyBytes), got.body)
}
