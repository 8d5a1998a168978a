package endpointhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// brokenCalls counts calls of OnBroken for idle connections and others.
type brokenCalls struct {
	mu         sync.Mutex
	idle, busy int
}

func (b *brokenCalls) add(_ string, idle bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if idle {
		b.idle++
	} else {
		b.busy++
	}
}

func (b *brokenCalls) counts() [2]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return [2]int{b.idle, b.busy}
}

// Guards against a broken connection that goes unnoticed, and against counting the end of a response,
// or a connection that this process closed, as one.
func TestBrokenConnectionsAreReported(t *testing.T) {
	closeWithout := func(text string) connHandler {
		return func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, text)
		}
	}
	for name, c := range map[string]struct {
		handler connHandler
		want    [2]int
	}{
		"no response":      {closeWithout(""), [2]int{0, 1}},
		"inside the body":  {closeWithout("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf"), [2]int{0, 1}},
		"whole response":   {closeWithout(okResponse("a", "x")), [2]int{}},
		"ends with close":  {closeWithout("HTTP/1.1 200 OK\r\nId: a\r\n\r\nall"), [2]int{}},
		"reset afterwards": {closeWithout("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx"), [2]int{}},
	} {
		var calls brokenCalls
		p := NewPool(time.Second)
		p.OnBroken = calls.add
		_, _ = do(t, p, startEndpoint(t, c.handler), "a")
		must.Eq(t, c.want, calls.counts(), must.Sprint(name))
	}

	var calls brokenCalls
	p := NewPool(time.Second)
	p.OnBroken = calls.add
	_, err := do(t, p, Target{Instance: "gone", Address: "127.0.0.1:1"}, "a")
	must.True(t, NotSent(err))
	must.Eq(t, [2]int{0, 1}, calls.counts(), must.Sprint("refused"))
}

// Guards against a request that this process cancelled counting as a broken connection.
func TestCancelledRequestIsNoBrokenConnection(t *testing.T) {
	target := startEndpoint(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+readRequest(r)+"\r\nContent-Length: 10\r\n\r\nhalf")
		_, _ = r.ReadByte()
	})
	var calls brokenCalls
	p := NewPool(time.Second)
	p.OnBroken = calls.add
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := p.Do(ctx, target, newRequest("a"))
	must.NoError(t, err)
	cancel()
	_, err = io.ReadAll(resp.Body)
	must.Error(t, err)
	resp.Close()
	must.Eq(t, [2]int{}, calls.counts())
}

// Guards against an idle connection found closed that is reported as one in use, or not at all.
func TestClosedIdleConnectionIsReported(t *testing.T) {
	answer := func(c net.Conn, r *bufio.Reader) { _, _ = io.WriteString(c, okResponse(readRequest(r), "ok")) }
	var calls brokenCalls
	p := NewPool(time.Second)
	p.OnBroken = calls.add
	target := startEndpoint(t, answer, answer)
	_, err := do(t, p, target, "a")
	must.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	_, err = do(t, p, target, "b")
	must.NoError(t, err)
	must.Eq(t, [2]int{1, 0}, calls.counts())
}
