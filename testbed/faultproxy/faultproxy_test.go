package faultproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// waitTimeout bounds every wait so that a failing test ends; no result depends
// on its value.
const waitTimeout = 20 * time.Second

// echoServer sends each received line back and counts the lines.
type echoServer struct {
	listener net.Listener
	lines    atomic.Int64
}

func startEcho(t *testing.T) *echoServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &echoServer{listener: listener}
	t.Cleanup(func() { must.NoError(t, listener.Close()) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *echoServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		s.lines.Add(1)
		if _, err := io.WriteString(conn, line); err != nil {
			return
		}
	}
}

func startProxy(t *testing.T, identify func(net.Conn) string) (*Proxy, *echoServer) {
	t.Helper()
	server := startEcho(t)
	proxy, err := New(identify)
	must.NoError(t, err)
	t.Cleanup(proxy.Close)
	proxy.SetTarget(server.listener.Addr().String())
	return proxy, server
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address())
	must.NoError(t, err)
	must.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// mustBeReset fails unless the proxy ends a new connection. The reset may arrive
// before or after Dial returns.
func mustBeReset(t *testing.T, p *Proxy) {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		return
	}
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = roundTrip(conn, "refused")
	must.Error(t, err)
	must.False(t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint("the connection was not ended"))
}

func roundTrip(conn net.Conn, line string) (string, error) {
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	reply := make([]byte, len(line)+1)
	_, err := io.ReadFull(conn, reply)
	return string(reply), err
}

func mustRoundTrip(t *testing.T, conn net.Conn, line string) {
	t.Helper()
	reply, err := roundTrip(conn, line)
	must.NoError(t, err)
	must.Eq(t, line+"\n", reply)
}

// mustReceiveNothing checks that nothing is received for 50 ms. On a slow
// machine it may miss a fault, but it can't report one that doesn't exist.
func mustReceiveNothing(t *testing.T, conn net.Conn) {
	t.Helper()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	must.True(t, errors.As(err, &timeout) && timeout.Timeout())
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
}

// Guards against a proxy that alters traffic without a rule, or doesn't forward
// the end of a stream.
func TestForwardsBytesAndEndOfStream(t *testing.T) {
	p, _ := startProxy(t, nil)
	conn := dial(t, p)
	mustRoundTrip(t, conn, "one")
	mustRoundTrip(t, conn, "two")
	must.NoError(t, conn.(*net.TCPConn).CloseWrite())
	_, err := conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

// Guards against a reset that arrives as an end of stream (EOF), or affects new
// connections.
func TestResetAll(t *testing.T) {
	p, _ := startProxy(t, nil)
	conn := dial(t, p)
	mustRoundTrip(t, conn, "one")
	p.ResetAll()
	_, err := conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, syscall.ECONNRESET)
	mustRoundTrip(t, dial(t, p), "two")
}

// Guards against a stall that affects new connections or ends when the rules are
// removed.
func TestStallExistingDoesNotAffectNewConnections(t *testing.T) {
	p, server := startProxy(t, nil)
	conn := dial(t, p)
	mustRoundTrip(t, conn, "one")
	p.StallExisting()
	_, err := io.WriteString(conn, "stalled\n")
	must.NoError(t, err)
	mustRoundTrip(t, dial(t, p), "two")
	p.ClearRules()
	mustReceiveNothing(t, conn)
	must.Eq(t, 2, server.lines.Load())
}

// Guards against stalling the wrong direction.
func TestStallExistingInOneDirection(t *testing.T) {
	p, server := startProxy(t, nil)
	conn := dial(t, p)
	mustRoundTrip(t, conn, "one")
	p.StallExisting(ToClient)
	_, err := io.WriteString(conn, "two\n")
	must.NoError(t, err)
	waitFor(t, func() bool { return server.lines.Load() == 2 })
	mustReceiveNothing(t, conn)
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprint("timed out waiting for the condition"))
	}
}

// Guards against a partition that affects other sources, lets traffic through or
// loses bytes.
func TestStallBySource(t *testing.T) {
	var addressOfA atomic.Value
	p, server := startProxy(t, func(accepted net.Conn) string {
		if accepted.RemoteAddr().String() == addressOfA.Load() {
			return "a"
		}
		return "b"
	})
	a := dial(t, p)
	addressOfA.Store(a.LocalAddr().String())
	mustRoundTrip(t, a, "one")
	b := dial(t, p)
	mustRoundTrip(t, b, "two")
	p.Stall(ToTarget, func(source string) bool { return source == "a" })
	_, err := io.WriteString(a, "late\n")
	must.NoError(t, err)
	mustRoundTrip(t, b, "three")
	mustReceiveNothing(t, a)
	must.Eq(t, 3, server.lines.Load())
	p.ClearRules()
	reply := make([]byte, len("late\n"))
	_, err = io.ReadFull(a, reply)
	must.NoError(t, err)
	must.Eq(t, "late\n", string(reply))
}

// Guards against a delay that isn't applied, and against a connection that no
// longer works once the rules are removed.
func TestDelay(t *testing.T) {
	const delay = 30 * time.Millisecond
	p, _ := startProxy(t, nil)
	conn := dial(t, p)
	p.SetDelay(ToTarget, delay)
	p.SetDelay(ToClient, delay)
	start := time.Now()
	mustRoundTrip(t, conn, "one")
	must.GreaterEq(t, 2*delay, time.Since(start))
	p.ClearRules()
	mustRoundTrip(t, conn, "two")
}

// Guards against open connections that are closed by BlockNew, and new ones that
// are still reset after BlockNew(false).
func TestBlockNew(t *testing.T) {
	p, _ := startProxy(t, nil)
	conn := dial(t, p)
	mustRoundTrip(t, conn, "one")
	p.BlockNew(true)
	mustBeReset(t, p)
	mustRoundTrip(t, conn, "two")
	p.BlockNew(false)
	mustRoundTrip(t, dial(t, p), "three")
}

// Guards against a lost reply whose request wasn't forwarded, or a rule that
// applies more than once.
func TestLoseReply(t *testing.T) {
	for name, resetAfter := range map[string]time.Duration{"reset": time.Millisecond, "silent": 0} {
		t.Run(name, func(t *testing.T) {
			p, server := startProxy(t, nil)
			conn := dial(t, p)
			mustRoundTrip(t, conn, "one")
			p.LoseReply("book 7", resetAfter)
			mustRoundTrip(t, conn, "two")
			// The match spans two writes.
			_, err := io.WriteString(conn, "please bo")
			must.NoError(t, err)
			_, err = io.WriteString(conn, "ok 7\n")
			must.NoError(t, err)
			waitFor(t, func() bool { return p.ReplyLost() && server.lines.Load() == 3 })
			if resetAfter > 0 {
				_, err = conn.Read(make([]byte, 1))
				must.ErrorIs(t, err, syscall.ECONNRESET)
			} else {
				mustReceiveNothing(t, conn)
			}
			mustRoundTrip(t, dial(t, p), "book 7")
		})
	}
}

// Guards against connections that hang before the target is set.
func TestConnectionsAreResetWithoutTarget(t *testing.T) {
	p, err := New(nil)
	must.NoError(t, err)
	t.Cleanup(p.Close)
	mustBeReset(t, p)
}
