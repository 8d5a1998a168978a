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

// script plays one connection of an endpoint.
type script func(c net.Conn, r *bufio.Reader)

// endpoint accepts connections and plays one script for each, in order; the
// last one serves all further connections.
func endpoint(t *testing.T, scripts ...script) Target {
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
				scripts[min(i, len(scripts)-1)](c, bufio.NewReader(c))
			}()
		}
	}()
	return Target{Instance: "e1", Address: l.Addr().String()}
}

// expect reads one request and returns its identifier.
func expect(r *bufio.Reader) string {
	in, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, in.Body)
	return in.Header.Get("Id")
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func request(id string) *Request {
	return &Request{
		Method: http.MethodPost, URI: "/p", Host: "h", Header: http.Header{"Id": {id}},
		Body: []byte("body"), ID: id, IDHeader: "Id", MaxIdle: time.Minute,
	}
}

func do(t *testing.T, p *Pool, target Target, id string) (string, error) {
	t.Helper()
	a, err := p.Do(context.Background(), target, request(id))
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// Guards against a late second answer that is taken for the answer to the
// next request on a kept connection.
func TestLateExtraAnswerIsSkipped(t *testing.T) {
	target := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		first := expect(r)
		_, _ = io.WriteString(c, answer(first, "one"))
		second := expect(r)
		_, _ = io.WriteString(c, answer(first, "ONE")+answer(second, "two"))
		expect(r)
	})
	p := NewPool(time.Second)
	body, err := do(t, p, target, "a")
	must.NoError(t, err)
	must.Eq(t, "one", body)
	body, err = do(t, p, target, "b")
	must.NoError(t, err)
	must.Eq(t, "two", body)
}

// Guards against a second answer that lies unread on a pooled connection.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	sent := make(chan struct{})
	target := endpoint(t,
		func(c net.Conn, r *bufio.Reader) {
			id := expect(r)
			_, _ = io.WriteString(c, answer(id, "one"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, answer("b", "forged"))
			close(sent)
			expect(r)
		},
		func(c net.Conn, r *bufio.Reader) { _, _ = io.WriteString(c, answer(expect(r), "two")); expect(r) },
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

// Guards against an answer of another request on a fresh connection.
func TestAnswerWithAnotherIdentifierIsRefused(t *testing.T) {
	target := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		expect(r)
		_, _ = io.WriteString(c, answer("other", "x"))
		expect(r)
	})
	_, err := do(t, NewPool(time.Second), target, "a")
	must.ErrorIs(t, err, errWrongAnswer)
	must.False(t, NotSent(err))
}

// Guards against "not run" for a request whose connection was reset after it
// was sent, and against a request counted as sent that found no connection.
func TestErrorTellsWhetherTheRequestLeft(t *testing.T) {
	target := endpoint(t, func(_ net.Conn, r *bufio.Reader) { expect(r) })
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

// Guards against a truncated answer that looks complete, for every framing.
func TestTruncatedAnswersAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		target := endpoint(t, func(c net.Conn, r *bufio.Reader) { expect(r); _, _ = io.WriteString(c, text) })
		_, err := do(t, NewPool(time.Second), target, "a")
		must.ErrorIs(t, err, io.ErrUnexpectedEOF, must.Sprint(name))
	}
}

// Guards against the reuse of a connection whose answer ended with the
// connection, and against a reset that looks like its end.
func TestUnframedAnswer(t *testing.T) {
	target := endpoint(t,
		func(c net.Conn, r *bufio.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+expect(r)+"\r\n\r\nall")
		},
		func(c net.Conn, r *bufio.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+expect(r)+"\r\n\r\npart")
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

// Guards against other bytes where the rest of a long body is due: after an
// early answer the connection must not carry another request.
func TestEarlyAnswerEndsItsConnection(t *testing.T) {
	second := make(chan string, 1)
	target := endpoint(t,
		func(c net.Conn, r *bufio.Reader) {
			in, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(in.Header.Get("Id"), "no"))
			time.Sleep(50 * time.Millisecond)
			rest, _ := io.ReadAll(r)
			if strings.Contains(string(rest), "POST") {
				second <- "request inside the body"
			}
		},
		func(c net.Conn, r *bufio.Reader) { _, _ = io.WriteString(c, answer(expect(r), "two")) },
	)
	p := NewPool(time.Second)
	long := request("a")
	long.Body = make([]byte, 32<<20)
	a, err := p.Do(context.Background(), target, long)
	must.NoError(t, err)
	_, err = io.ReadAll(a.Body)
	must.NoError(t, err)
	a.Close()
	body, err := do(t, p, target, "b")
	must.NoError(t, err)
	must.Eq(t, "two", body)
	select {
	case fault := <-second:
		t.Fatal(fault)
	default:
	}
}

// Guards against work that goes on at an endpoint after its caller has left.
func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	target := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		id := expect(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		_, _ = r.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	a, err := NewPool(time.Second).Do(ctx, target, request("a"))
	must.NoError(t, err)
	cancel()
	select {
	case <-gone:
	case <-time.After(10 * time.Second):
		t.Fatal("the endpoint's connection stayed open")
	}
	_, err = io.ReadAll(a.Body)
	must.Error(t, err)
	a.Close()
}

// Guards against a request that may run only once being lost on a connection
// that was idle for long.
func TestIdleLimitOfARequest(t *testing.T) {
	connections := make(chan struct{}, 10)
	target := endpoint(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		for {
			id := expect(r)
			if id == "" {
				return
			}
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	p := NewPool(time.Second)
	_, err := do(t, p, target, "a")
	must.NoError(t, err)
	time.Sleep(30 * time.Millisecond)
	careful := request("b")
	careful.MaxIdle = 10 * time.Millisecond
	a, err := p.Do(context.Background(), target, careful)
	must.NoError(t, err)
	a.Close()
	must.Eq(t, 2, len(connections))
}

func TestIdleLimitHeader(t *testing.T) {
	must.Eq(t, 5*time.Second, idleLimit(http.Header{"Keep-Alive": {"timeout=5, max=3"}}))
	must.Eq(t, 0, idleLimit(http.Header{"Keep-Alive": {"max=3"}}))
	must.Eq(t, 0, idleLimit(http.Header{}))
}
