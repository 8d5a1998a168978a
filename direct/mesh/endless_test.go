package mesh

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

func newMesh(t testing.TB) *Mesh {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	d := dispatch.New("z", registry.NewTable(), placement.DefaultPolicy(), retry.DefaultLimits())
	local := LocalState{ConfigVersion: func() uint64 { return 0 }, Mirror: func(follow.Topic) *mirror.Topic { return mirror.NewTopic() }, Streams: func() Streams { return nil }}
	return New("self", netip.MustParseAddrPort("127.0.0.1:1"), conn, d, local, slog.New(slog.DiscardHandler), metrics.NewRegistry())
}

// zeros is an endless body that counts the bytes read from it.
type zeros struct{ n int64 }

func (z *zeros) Read(p []byte) (int, error) {
	clear(p)
	z.n += int64(len(p))
	return len(p), nil
}

// Guards against a server at a peer's address whose reply has no end and fills the
// memory.
func TestEndlessReplyOfPeerIsCut(t *testing.T) {
	sent := make(chan int64, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		n, _ := io.Copy(w, &zeros{})
		sent <- n
	}))
	defer server.Close()
	m := newMesh(t)
	address := server.Listener.Addr().String()
	m.Add(address)
	m.peers[address].lastReport = time.Now()
	m.peers[address].ends = [2]mirror.Position{{Next: 10}, {Next: 10}}
	_, _, err := m.Records(context.Background(), follow.Configuration, mirror.Position{})
	must.Error(t, err)
	// The sockets' buffers take some bytes beyond the limit.
	must.Less(t, 2*maxRecordsReply, int(<-sent))
}

// Guards against a request for records whose body has no end and fills the memory.
func TestEndlessRequestOfPeerIsCut(t *testing.T) {
	body := &zeros{}
	in := httptest.NewRequest(http.MethodPost, "/twirp/acaciaspar.fleet.v1.Mirror/FetchRecords", body)
	in.Header.Set("Content-Type", "application/protobuf")
	w := httptest.NewRecorder()
	newMesh(t).Handler().ServeHTTP(w, in)
	must.NotEq(t, http.StatusOK, w.Code)
	must.Less(t, 2*maxRecordsRequest, int(body.n))
}
