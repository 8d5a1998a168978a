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

// blackholeProxy forwards connections until blackhole is called; from then on it
// keeps the open connections but drops their data. New connections are forwarded.
type blackholeProxy struct {
	address  string
	dropped  sync.Map
	conns    sync.Map
	accepted atomic.Int32
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &blackholeProxy{address: l.Addr().String()}
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
			p.accepted.Add(1)
			p.conns.Store(in, true)
			p.conns.Store(out, true)
			go p.forward(in, out)
			go p.forward(out, in)
		}
	}()
	return p
}

func (p *blackholeProxy) forward(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if _, dropped := p.dropped.Load(from); dropped {
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

func (p *blackholeProxy) blackhole() {
	p.conns.Range(func(c, _ any) bool { p.dropped.Store(c, true); return true })
}

// Guards against a stream that blocks forever when a device on the path has lost
// the state of its connection and drops all packets. Without the pings set in
// http2Config the read never returns.
func TestUnresponsiveConnectionEndsStream(t *testing.T) {
	started := make(chan struct{}, 1)
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		started <- struct{}{}
		if r.URL.Path == "/stream" {
			<-r.Context().Done()
		}
	}))
	proxy := newBlackholeProxy(t, address)
	client := NewClient(nil)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+proxy.address+"/stream", nil)
	must.NoError(t, err)
	resp, err := client.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	<-started
	proxy.blackhole()
	_, err = io.ReadAll(resp.Body)
	must.Error(t, err)
	must.NoError(t, ctx.Err(), must.Sprint("the stream ended by the test's timeout, not by a failed ping"))

	resp, err = client.Get("http://" + proxy.address + "/short")
	must.NoError(t, err)
	_ = resp.Body.Close()
	must.Eq(t, 2, proxy.accepted.Load())
}

// Guards against counting payload as control traffic and against not counting
// control traffic.
func TestTrafficCountsOnlyControlMessages(t *testing.T) {
	serverTraffic := NewTraffic(metrics.NewRegistry())
	address := startServer(t, serverTraffic.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})))
	clientTraffic := NewTraffic(metrics.NewRegistry())
	client := clientTraffic.Client(NewClient(nil))
	for _, path := range []string{"/twirp/x", "/fleet/v1/work"} {
		resp, err := client.Post("http://"+address+path, "text/plain", strings.NewReader("12345"))
		must.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		must.NoError(t, err)
		_ = resp.Body.Close()
	}
	for _, traffic := range []*Traffic{serverTraffic, clientTraffic} {
		must.Eq(t, 2, traffic.messages.Count())
		must.Eq(t, messageOverheadBytes+5, traffic.sentBytes.Count())
		must.Eq(t, messageOverheadBytes+5, traffic.receivedBytes.Count())
		must.MapLen(t, 1, traffic.methods)
		must.Eq(t, 5, traffic.methods["x"].requestBytes.Count())
		must.Eq(t, 5, traffic.methods["x"].replyBytes.Count())
		must.Eq(t, 1, traffic.methods["x"].calls.Count())
	}
}

// Guards against a table of methods that grows without limit with the paths that
// clients send.
func TestTrafficMethodsAreBounded(t *testing.T) {
	traffic := NewTraffic(metrics.NewRegistry())
	for i := range 2 * maxMethods {
		traffic.countersFor(controlPrefix + strconv.Itoa(i)).calls.Inc(1)
	}
	must.MapLen(t, maxMethods+1, traffic.methods)
	must.Eq(t, maxMethods, traffic.methods["other"].calls.Count())
}

// Guards against a messageOverheadBytes that is far from the bytes actually sent.
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
		return &countingConn{Conn: c, sent: &sent, received: &received}, err
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
	t.Logf("overhead per message: %d bytes", overhead)
	must.Between(t, messageOverheadBytes/3, overhead, messageOverheadBytes*3/2)
}

type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (m *countingConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.received.Add(int64(n))
	return n, err
}

func (m *countingConn) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.sent.Add(int64(n))
	return n, err
}
