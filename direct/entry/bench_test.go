package entry_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/direct/conns"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// BenchmarkRefusal measures a refused request on a new connection, the most
// frequent operation of an overloaded router.
func BenchmarkRefusal(b *testing.B) {
	r := newRouter(b)
	address := r.server.Listener.Addr().String()
	in := fmt.Sprintf("POST /stream/1 HTTP/1.1\r\nHost: shop.example\r\n%s: a\r\n%s: 5000\r\nAuthorization: Bearer k1\r\n"+
		"%s: aa:5000,bb:600\r\n%s: 5600,300\r\nContent-Length: 12000\r\nConnection: close\r\n\r\n%012000d",
		headers.RequestID, headers.DeadlineRemaining, headers.PromptParts, headers.TokenCounts, 0)
	for b.Loop() {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.WriteString(c, in)
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
}

// streamFifty responds with a stream of 50 events.
func streamFifty(c net.Conn, call *directtest.Call) bool {
	directtest.BeginStream(c, call)
	for i := range 50 {
		directtest.Chunk(c, directtest.Event(i))
	}
	directtest.Chunk(c, "")
	return true
}

// BenchmarkStream measures a stream of 50 events.
func BenchmarkStream(b *testing.B) {
	r := newRouter(b)
	e := directtest.NewEndpoint(b, streamFifty)
	r.endpoints.Put(registry.Endpoint{ID: "e", Service: "engines", Address: e.Address, Zone: "z", Slots: 64})
	for b.Loop() {
		if got := r.post("/stream/1"); got.err != nil || got.status != 200 {
			b.Fatal(got)
		}
	}
}

// BenchmarkStreamOnOwnConnections measures the same stream on a connection of the process, with and without
// a budget for what waits for its caller.
func BenchmarkStreamOnOwnConnections(b *testing.B) {
	for name, limit := range map[string]int64{"queue": 64 << 20, "no queue": 0} {
		b.Run(name, func(b *testing.B) {
			r := newRouter(b)
			e := directtest.NewEndpoint(b, streamFifty)
			r.endpoints.Put(registry.Endpoint{ID: "e", Service: "engines", Address: e.Address, Zone: "z", Slots: 64})
			if limit > 0 {
				r.handler.Memory = conns.NewMemory(limit, r.handler.Log, metrics.NewRegistry())
			}
			address := r.serveOwnConns(b)
			in := r.request("POST", "/stream/1", "body")
			in.URL.Host = address
			for b.Loop() {
				in.Body = io.NopCloser(strings.NewReader("body"))
				if got := r.do(in); got.err != nil || got.status != 200 {
					b.Fatal(got)
				}
			}
		})
	}
}
