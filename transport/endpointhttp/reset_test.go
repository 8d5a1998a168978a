package endpointhttp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/transport/sockettest"
)

// startSlowEndpoint is startEndpoint with sockets that hold a small part of a body.
func startSlowEndpoint(t *testing.T, handler connHandler) Target {
	t.Helper()
	l := sockettest.Listen(t)
	go sockettest.Serve(l, func(c *net.TCPConn) { handler(c, bufio.NewReaderSize(c, 512)) })
	return Target{Instance: "e1", Address: l.Addr().String()}
}

// unframed is the start of a response without a length.
const unframed = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"

// Guards against a part of a response without a length that is taken for the whole one, because the
// goroutine that still wrote the request got the connection's only error.
func TestResetDuringTheUploadIsNoEndOfTheResponse(t *testing.T) {
	for _, size := range []int{100_000, 250_000, 500_000} {
		for _, delay := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, after %v", size, delay), func(t *testing.T) {
				t.Parallel()
				reset := make(chan struct{})
				target := startSlowEndpoint(t, func(c net.Conn, r *bufio.Reader) {
					defer close(reset)
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, unframed+"a part")
					time.Sleep(delay)
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				})
				request := newRequest("a")
				request.Body = bytes.Repeat([]byte("x"), size)
				response, err := NewPool(time.Second).Do(t.Context(), target, request)
				if err != nil {
					return
				}
				defer response.Close()
				<-reset
				// The writer notices the reset before the reader.
				time.Sleep(20 * time.Millisecond)
				body, err := io.ReadAll(response.Body)
				must.Error(t, err, must.Sprintf("complete with %q", body))
				must.False(t, response.Complete())
			})
		}
	}
}

// Guards against a check of the socket, made while the response is read, that takes the connection's only
// error from the reader.
func TestCheckOfTheSocketLeavesItsError(t *testing.T) {
	reset := make(chan struct{})
	target := startEndpoint(t, func(c net.Conn, r *bufio.Reader) {
		defer close(reset)
		readRequest(r)
		_, _ = io.WriteString(c, unframed+"a part")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	var unread func() bool
	request := newRequest("a")
	request.Recheck = func(f func() bool) error { unread = f; return nil }
	response, err := NewPool(time.Second).Do(t.Context(), target, request)
	must.NoError(t, err)
	defer response.Close()
	part := make([]byte, len("a part"))
	_, err = io.ReadFull(response.Body, part)
	must.NoError(t, err)
	<-reset
	time.Sleep(20 * time.Millisecond)
	must.False(t, unread())
	_, err = response.Body.Read(part)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a response that ends while a part of the request is on its way to an endpoint that has
// closed the connection: the reset follows the end.
func TestEndBeforeTheRequestArrivedIsNoEndOfTheResponse(t *testing.T) {
	closing := make(chan struct{})
	target := startSlowEndpoint(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, unframed+"a part")
		_ = c.(*net.TCPConn).CloseWrite()
		<-closing
	})
	request := newRequest("a")
	request.Body = bytes.Repeat([]byte("x"), MaxSyncBodySize)
	response, err := NewPool(time.Second).Do(t.Context(), target, request)
	must.NoError(t, err)
	defer response.Close()
	time.AfterFunc(50*time.Millisecond, func() { close(closing) })
	body, err := io.ReadAll(response.Body)
	must.ErrorIs(t, err, errRequestCut, must.Sprintf("complete with %q", body))
}

// Guards against sound responses without a length that are taken for broken ones: after a request that
// was read whole, and when the rest of it is read after the response.
func TestOrderlyEndOfAResponseWithoutLength(t *testing.T) {
	const size = 500_000
	for name, handler := range map[string]connHandler{
		"after the request": func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, unframed+"all")
		},
		"before the request was read": func(c net.Conn, r *bufio.Reader) {
			in, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, unframed+"all")
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, in.Body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			target := startSlowEndpoint(t, handler)
			request := newRequest("a")
			request.Body = bytes.Repeat([]byte("x"), size)
			response, err := NewPool(time.Second).Do(t.Context(), target, request)
			must.NoError(t, err)
			defer response.Close()
			body, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			must.Eq(t, "all", string(body))
			must.True(t, response.Complete())
		})
	}
}

// Guards against a response that is lost because its endpoint answers first and reads the rest of the
// request's body after a pause that is longer than data may stay unacknowledged.
func TestBodyReadLongAfterTheResponseBegan(t *testing.T) {
	t.Parallel()
	target := startSlowEndpoint(t, func(c net.Conn, r *bufio.Reader) {
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 6\r\n\r\none")
		time.Sleep(userTimeoutMs*time.Millisecond + 2*time.Second)
		if n, err := io.Copy(io.Discard, in.Body); err == nil && n == in.ContentLength {
			_, _ = io.WriteString(c, "two")
		}
	})
	request := newRequest("a")
	request.Body = bytes.Repeat([]byte("x"), 1<<20)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	response, err := NewPool(time.Second).Do(ctx, target, request)
	must.NoError(t, err)
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, "onetwo", string(body))
}

// Guards against a status that HTTP doesn't define and that is taken for a response.
func TestUndefinedStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		target := startEndpoint(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nId: "+readRequest(r)+"\r\nContent-Length: 2\r\n\r\nok")
		})
		_, err := do(t, NewPool(time.Second), target, "a")
		must.ErrorIs(t, err, errInvalidStatus, must.Sprint(status))
	}
}
