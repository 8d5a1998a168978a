package endpointhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// connHandler serves one connection of a test endpoint.
type connHandler func(c net.Conn, r *bufio.Reader)

// startEndpoint listens on loopback and serves the n-th connection with the n-th
// handler; the last handler serves all further connections.
func startEndpoint(t *testing.T, handlers ...connHandler) Target {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handlers[min(i, len(handlers)-1)](c, bufio.NewReader(c))
			}()
		}
	}()
	return Target{Instance: "e1", Address: l.Addr().String()}
}

// readRequest reads one request and returns its identifier.
func readRequest(r *bufio.Reader) string {
	in, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, in.Body)
	return in.Header.Get("Id")
}

// okResponse returns a complete response with status 200; the body must be
// shorter than 100 bytes.
func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + twoDigits(len(body)) + "\r\n\r\n" + body
}

// twoDigits formats a number from 0 to 99.
func twoDigits(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodPost, URI: "/p", Host: "h", Header: http.Header{"Id": {id}},
		Body: []byte("body"), ID: id, IDHeader: "Id", MaxIdleTime: time.Minute,
	}
}

func do(t *testing.T, p *Pool, target Target, id string) (string, error) {
	t.Helper()
	resp, err := p.Do(context.Background(), target, newRequest(id))
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a late duplicate response being returned for the next request
// on a reused connection.
func TestLateDuplicateResponseIsSkipped(t *testing.T) {
	target := startEndpoint(t, func(c net.Conn, r *bufio.Reader) {
		first := readRequest(r)
		_, _ = io.WriteString(c, okResponse(first, "one"))
		second := readRequest(r)
		_, _ = io.WriteString(c, okResponse(first, "ONE")+okResponse(second, "two"))
		readRequest(r)
	})
	p := NewPool(time.Second)
	body, err := do(t, p, target, "a")
	must.NoError(t, err)
	must.Eq(t, "one", body)
	body, err = do(t, p, target, "b")
	must.NoError(t, err)
	must.Eq(t, "two", body)
}

// Guards against reuse of a pooled connection on which an unrequested response
// is waiting to be read.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	sent := make(chan struct{})
	target := startEndpoint(t,
		func(c net.Conn, r *bufio.Reader) {
			id := readRequest(r)
			_, _ = io.WriteString(c, okResponse(id, "one"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, okResponse("b", "forged"))
			close(sent)
			readRequest(r)
		},
		func(c net.Conn, r *bufio.Reader) {
			_, _ = io.WriteString(c, okResponse(readRequest(r), "two"))
			readRequest(r)
		},
	)
	p := NewPool(time.Second)
	_, err := do(t, p, target, "a")
	must.NoError(t, err)
	<-sent
	time.Sleep(20 * time.Millisecond)
	body, err := do(t, p, target, "b")
	must.NoError(t, err)
	must.Eq(t, "two", body)
}

// Guards against accepting the response to another request on a new connection.
func TestResponseWithOtherIdentifierIsRejected(t *testing.T) {
	target := startEndpoint(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, okResponse("other", "x"))
		readRequest(r)
	})
	_, err := do(t, NewPool(time.Second), target, "a")
	must.ErrorIs(t, err, errMismatchedID)
	must.False(t, NotSent(err))
}

// Guards against reporting a request as not sent when its connection was reset
// after sending, and as sent when no connection could be opened.
func TestNotSentOnlyWithoutConnection(t *testing.T) {
	target := startEndpoint(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
	_, err := do(t, NewPool(time.Second), target, "a")
	must.Error(t, err)
	must.False(t, NotSent(err))

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	closed := l.Addr().String()
	must.NoError(t, l.Close())
	_, err = do(t, NewPool(time.Second), Target{Instance: "gone", Address: closed}, "a")
	must.True(t, NotSent(err))
}

// Guards against a status or a protocol version that HTTP/1.1 doesn't define reaching a caller.
func TestResponseOutsideOfHTTPIsRejected(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20x OK",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.10 200 OK", "ICY 200 OK",
	} {
		target := startEndpoint(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = io.WriteString(c, line+"\r\nId: "+readRequest(r)+"\r\nContent-Length: 1\r\n\r\nx")
			readRequest(r)
		})
		_, err := do(t, NewPool(time.Second), target, "a")
		must.Error(t, err, must.Sprint(line))
		must.False(t, NotSent(err))
	}
}

// Guards against accepting a truncated response as complete, for both framings.
func TestTruncatedResponseIsError(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		target := startEndpoint(t, func(c net.Conn, r *bufio.Reader) { readRequest(r); _, _ = io.WriteString(c, text) })
		_, err := do(t, NewPool(time.Second), target, "a")
		must.ErrorIs(t, err, io.ErrUnexpectedEOF, must.Sprint(name))
	}
}

// Guards against a response whose head is cut off being taken for a complete one without a
// body, at whatever byte the endpoint stops.
func TestTruncatedHeadIsError(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n",
	} {
		for n := range len(head) {
			target := startEndpoint(t, func(c net.Conn, r *bufio.Reader) { readRequest(r); _, _ = io.WriteString(c, head[:n]) })
			_, err := do(t, NewPool(time.Second), target, "a")
			must.Error(t, err, must.Sprintf("%q", head[:n]))
			must.False(t, NotSent(err))
		}
	}
}

// Guards against reuse of a connection whose close marked the end of the
// response, and against mistaking a reset for that end.
func TestUnframedResponseIsNotReusedAndReportsReset(t *testing.T) {
	target := startEndpoint(t,
		func(c net.Conn, r *bufio.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+readRequest(r)+"\r\n\r\nall")
		},
		func(c net.Conn, r *bufio.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+readRequest(r)+"\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
	)
	p := NewPool(time.Second)
	body, err := do(t, p, target, "a")
	must.NoError(t, err)
	must.Eq(t, "all", body)
	_, err = do(t, p, target, "b")
	must.Error(t, err)
}

// Guards against sending another request on a connection on which the endpoint
// responded before the whole body was written: the endpoint would read that
// request as part of the body.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	failures := make(chan string, 1)
	target := startEndpoint(t,
		func(c net.Conn, r *bufio.Reader) {
			in, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, okResponse(in.Header.Get("Id"), "no"))
			time.Sleep(50 * time.Millisecond)
			rest, _ := io.ReadAll(r)
			if strings.Contains(string(rest), "POST") {
				failures <- "another request was sent inside the body"
			}
		},
		func(c net.Conn, r *bufio.Reader) { _, _ = io.WriteString(c, okResponse(readRequest(r), "two")) },
	)
	p := NewPool(time.Second)
	long := newRequest("a")
	long.Body = make([]byte, 32<<20)
	resp, err := p.Do(context.Background(), target, long)
	must.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	must.NoError(t, err)
	resp.Close()
	body, err := do(t, p, target, "b")
	must.NoError(t, err)
	must.Eq(t, "two", body)
	select {
	case failure := <-failures:
		t.Fatal(failure)
	default:
	}
}

// Guards against an endpoint that keeps executing a request after its context
// was cancelled.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	target := startEndpoint(t, func(c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := NewPool(time.Second).Do(ctx, target, newRequest("a"))
	must.NoError(t, err)
	cancel()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the endpoint's connection stayed open")
	}
	_, err = io.ReadAll(resp.Body)
	must.Error(t, err)
	resp.Close()
}

// startCountedEndpoint starts an endpoint that answers all requests. The channel holds a value
// for each of its connections.
func startCountedEndpoint(t *testing.T) (Target, <-chan struct{}) {
	t.Helper()
	connections := make(chan struct{}, 10)
	return startEndpoint(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		for {
			id := readRequest(r)
			if id == "" {
				return
			}
			_, _ = io.WriteString(c, okResponse(id, "ok"))
		}
	}), connections
}

// Guards against sending a request that may run only once on a connection that
// has been idle for longer than the request's MaxIdleTime.
func TestMaxIdleOfRequest(t *testing.T) {
	target, connections := startCountedEndpoint(t)
	p := NewPool(time.Second)
	_, err := do(t, p, target, "a")
	must.NoError(t, err)
	time.Sleep(30 * time.Millisecond)
	shortIdle := newRequest("b")
	shortIdle.MaxIdleTime = 10 * time.Millisecond
	resp, err := p.Do(context.Background(), target, shortIdle)
	must.NoError(t, err)
	resp.Close()
	must.Eq(t, 2, len(connections))
}

func TestKeepAliveTimeout(t *testing.T) {
	must.Eq(t, 5*time.Second, keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=5, max=3"}}))
	must.Eq(t, 0, keepAliveTimeout(http.Header{"Keep-Alive": {"max=3"}}))
	must.Eq(t, 0, keepAliveTimeout(http.Header{}))
}
