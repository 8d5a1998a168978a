package directtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/acaciaspar/acaciaspar/protocol/dialect"
)

// Call is a request received by an Endpoint.
type Call struct {
	*http.Request
	BodyText string
}

// ID returns the request's identifier, from its header.
func (c *Call) ID() string { return c.Header.Get(dialect.Default().RequestID) }

// Script responds to one request on connection c. It returns false to close the
// connection.
type Script func(c net.Conn, call *Call) bool

// Endpoint is an endpoint whose responses are written by a Script. It records
// the requests it received.
type Endpoint struct {
	Address string

	listener net.Listener
	script   Script

	mu    sync.Mutex
	calls []*Call
	conns []net.Conn
}

// NewEndpoint starts an endpoint on a local port. Its listener is closed at the
// end of the test.
func NewEndpoint(t testing.TB, script Script) *Endpoint {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &Endpoint{Address: l.Addr().String(), listener: l, script: script}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns = append(e.conns, c)
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	return e
}

func (e *Endpoint) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		in, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(in.Body)
		if err != nil {
			return
		}
		call := &Call{Request: in, BodyText: string(body)}
		e.mu.Lock()
		e.calls = append(e.calls, call)
		e.mu.Unlock()
		if !e.script(c, call) {
			return
		}
	}
}

// Crash closes the listener and all connections.
func (e *Endpoint) Crash() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		_ = c.Close()
	}
}

// Calls returns the requests received so far.
func (e *Endpoint) Calls() []*Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Call(nil), e.calls...)
}

// Respond writes a complete response with the endpoint's signature.
func Respond(c net.Conn, call *Call, status int, body string, headers ...string) {
	d := dialect.Default()
	lines := append([]string{d.RequestID + ": " + call.ID(), d.Signature + ": sig"}, headers...)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), strings.Join(lines, "\r\n"), len(body), body)
}

// BeginStream writes the headers of a chunked response with an event stream.
func BeginStream(c net.Conn, call *Call) {
	d := dialect.Default()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		d.RequestID, call.ID(), d.Signature)
}

// Chunk writes one chunk of a chunked response; empty text ends the response.
func Chunk(c net.Conn, text string) {
	_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
}

// Event returns the event with this ID in an event stream.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", id, id) }

// RefusingAddress returns an address that refuses connections. Its port stays bound until the end
// of the test: after a listener is closed, another process may get its port and accept.
func RefusingAddress(t testing.TB) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	address, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	bound, ok := address.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("unexpected address %v", address)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.Port)
}
