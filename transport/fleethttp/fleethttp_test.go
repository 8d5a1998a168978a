package fleethttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
)

// startServer serves handler on loopback and returns its address.
func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := NewServer(handler, nil)
	go func() { _ = Serve(s, l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// silentProxy forwards connections until hold is called; from then on it
// keeps the open ones without forwarding a byte. New ones work.
type silentProxy struct {
	address string
	held    sync.Map
	conns   sync.Map
	count   atomic.Int32
}

func newSilentProxy(t *testing.T, target string) *silentProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &silentProxy{address: l.Addr().String()}
	t.Cleanup(func() {
		_ = l.Close()
		p.conns.Range(func(c, _ any) bool { _ = c.(net.Conn).Close(); return true })
	})
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			p.count.Add(1)
			p.conns.Store(in, true)
			p.conns.Store(out, true)
			go p.forward(in, out)
			go p.forward(out, in)
		}
	}()
	return p
}

func (p *silentProxy) forward(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if _, held := p.held.Load(from); held {
			continue
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *silentProxy) hold() {
	p.conns.Range(func(c, _ any) bool { p.held.Store(c, true); return true })
}

// Guards against a stream that waits forever on a connection that something
// between the two ends has lost track of. Without the pings in http2Config the
// read never returns.
func TestSilentConnectionEndsStream(t *testing.T) {
	began := make(chan struct{}, 1)
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		began <- struct{}{}
		if r.URL.Path == "/stream" {
			<-r.Context().Done()
		}
	}))
	proxy := newSilentProxy(t, address)
	client := NewClient(nil)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+proxy.address+"/stream", nil)
	must.NoError(t, err)
	resp, err := client.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	<-began
	proxy.hold()
	_, err = io.ReadAll(resp.Body)
	must.Error(t, err)
	must.NoError(t, ctx.Err(), must.Sprint("the stream ended by the test's limit, not by a ping"))

	resp, err = client.Get("http://" + proxy.address + "/short")
	must.NoError(t, err)
	_ = resp.Body.Close()
	must.Eq(t, 2, proxy.count.Load())
}

// Guards against counting payload as control traffic, or control traffic not at all.
func TestTrafficCountsControlOnly(t *testing.T) {
	server := NewTraffic(metrics.NewRegistry())
	address := startServer(t, server.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})))
	caller := NewTraffic(metrics.NewRegistry())
	client := caller.Client(NewClient(nil))
	for _, path := range []string{"/twirp/x", "/fleet/v1/work"} {
		resp, err := client.Post("http://"+address+path, "text/plain", strings.NewReader("12345"))
		must.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		must.NoError(t, err)
		_ = resp.Body.Close()
	}
	for _, traffic := range []*Traffic{server, caller} {
		must.Eq(t, 2, traffic.messages.Count())
		must.Eq(t, messageOverheadBytes+5, traffic.sentBytes.Count())
		must.Eq(t, messageOverheadBytes+5, traffic.receivedBytes.Count())
		must.MapLen(t, 1, traffic.kinds)
		must.Eq(t, 5, traffic.kinds["x"].requestBytes.Count())
		must.Eq(t, 5, traffic.kinds["x"].replyBytes.Count())
		must.Eq(t, 1, traffic.kinds["x"].calls.Count())
	}
}

// Guards against a table that grows with the paths that callers choose.
func TestTrafficKindsAreBounded(t *testing.T) {
	traffic := NewTraffic(metrics.NewRegistry())
	for i := range 2 * maxKinds {
		traffic.kindOf(controlPrefix + strconv.Itoa(i)).calls.Inc(1)
	}
	must.MapLen(t, maxKinds+1, traffic.kinds)
	must.Eq(t, maxKinds, traffic.kinds["other"].calls.Count())
}

// Guards against a constant for the overhead that is far from what the wire shows.
func TestMessageOverhead(t *testing.T) {
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(make([]byte, 100))
	}))
	var sent, received atomic.Int64
	client := NewClient(nil)
	client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		return &meteredConn{Conn: c, sent: &sent, received: &received}, err
	}
	call := func() {
		resp, err := client.Post("http://"+address+"/twirp/acaciaspar.fleet.v1.Owner/Report", "application/protobuf", strings.NewReader(strings.Repeat("x", 100)))
		must.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	call()
	const calls = 100
	before := sent.Load() + received.Load()
	for range calls {
		call()
	}
	overhead := (sent.Load()+received.Load()-before)/(2*calls) - 100
	t.Logf("bytes per message beyond its body: %d", overhead)
	must.Between(t, messageOverheadBytes/3, overhead, messageOverheadBytes*3/2)
}

type meteredConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.received.Add(int64(n))
	return n, err
}

func (m *meteredConn) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.sent.Add(int64(n))
	return n, err
}
