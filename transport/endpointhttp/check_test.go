package endpointhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// recordingConn records the order of the calls, and ends the response at the first read.
type recordingConn struct {
	net.Conn
	mu     sync.Mutex
	events []string
}

func (c *recordingConn) record(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.events); n == 0 || c.events[n-1] != event {
		c.events = append(c.events, event)
	}
}

func (c *recordingConn) Write(p []byte) (int, error) { c.record("write"); return len(p), nil }
func (c *recordingConn) Read([]byte) (int, error)    { c.record("read"); return 0, io.EOF }

// Guards against a request whose bytes wait for the processor after the check that its endpoint still
// accepts it, with a short body and with one that doesn't fit into the socket's buffer.
func TestRequestIsWrittenRightAfterItsCheck(t *testing.T) {
	for _, size := range []int{10, MaxSyncBodySize, MaxSyncBodySize + 1, 1 << 20} {
		recording := &recordingConn{}
		head := &headReader{Conn: recording}
		c := &conn{Conn: recording, head: head, reader: bufio.NewReader(head)}
		r := newRequest("a")
		r.Body = make([]byte, size)
		r.Recheck = func(func() bool) error { recording.record("check"); return nil }
		_, err := c.exchange(context.Background(), r)
		must.Error(t, err)
		recording.mu.Lock()
		must.StrHasPrefix(t, "check write read", strings.Join(recording.events, " "), must.Sprint(size))
		recording.mu.Unlock()
	}
}

// Guards against a body that is cut or doubled where its synchronous part ends.
func TestLongBodyArrivesWhole(t *testing.T) {
	for _, size := range []int{MaxSyncBodySize - 1, MaxSyncBodySize, MaxSyncBodySize + 1, 3 << 20} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i * 7 / 3)
		}
		got := make(chan []byte, 1)
		target := startEndpoint(t, func(c net.Conn, r *bufio.Reader) {
			in, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			received, err := io.ReadAll(in.Body)
			if err != nil {
				return
			}
			got <- received
			_, _ = io.WriteString(c, okResponse("a", "ok"))
			_, _ = r.ReadByte()
		})
		r := newRequest("a")
		r.Body = body
		resp, err := NewPool(time.Second).Do(context.Background(), target, r)
		must.NoError(t, err)
		resp.Close()
		must.True(t, string(body) == string(<-got), must.Sprint(size))
	}
}

// Guards against a new connection for each request that its check holds back, and against a
// connection that counts as fresh because such a request took it.
func TestConnectionIsKeptIfTheCheckFails(t *testing.T) {
	target, connections := startCountedEndpoint(t)
	p := NewPool(time.Second)
	_, err := do(t, p, target, "a")
	must.NoError(t, err)
	idleSince := p.idle[target.Instance][0].idleSince
	refused := errors.New("refused")
	held := newRequest("b")
	held.Recheck = func(func() bool) error { return refused }
	_, err = p.Do(context.Background(), target, held)
	must.True(t, NotSent(err))
	must.ErrorIs(t, err, refused)
	must.Eq(t, idleSince, p.idle[target.Instance][0].idleSince)
	_, err = do(t, p, target, "c")
	must.NoError(t, err)
	must.Eq(t, 1, len(connections))
}
