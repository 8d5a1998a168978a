package endpointhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// endless returns a handler that reads one request and writes first, with the
// request's identifier in place of {id}, and then repeat until the connection is
// closed by the client. It then closes ended.
func endless(first, repeat string, ended chan struct{}) connHandler {
	repeat = strings.Repeat(repeat, 1+(32<<10)/len(repeat))
	return func(c net.Conn, r *bufio.Reader) {
		defer close(ended)
		_, err := io.WriteString(c, strings.ReplaceAll(first, "{id}", readRequest(r)))
		for err == nil {
			_, err = io.WriteString(c, repeat)
		}
	}
}

// maxHeapGrowth bounds the heap that one endless response may occupy, in bytes. It
// is far above all limits on headers and far below what an endless response sends
// within the test's time.
const maxHeapGrowth = 8 << 20

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against endless headers that fill the memory or occupy a request until its
// deadline. The connection must be closed early, and the request counts as sent.
func TestEndlessHeadIsCut(t *testing.T) {
	const statusOK = "HTTP/1.1 200 OK\r\n"
	for name, script := range map[string][2]string{
		"no line break":     {"", "x"},
		"status line":       {"HTTP/1.1 200 ", "O"},
		"one header line":   {statusOK + "A: ", "b"},
		"header name":       {statusOK, "h"},
		"many header lines": {statusOK, "A: b\r\n"},
		"continuation":      {statusOK + "A: b\r\n", " c\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim headers":   {"HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			target := startEndpoint(t, endless(script[0], script[1], ended))
			p := NewPool(time.Second)
			before := heapBytes()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := p.Do(ctx, target, newRequest("a"))
			must.Error(t, err)
			must.False(t, NotSent(err))
			must.NoError(t, ctx.Err(), must.Sprint("the response must be cut before the deadline"))
			must.Less(t, before+maxHeapGrowth, heapBytes())
			<-ended
		})
	}
}

// Guards against chunk extensions and trailers without end, which belong to the body
// but never deliver a byte of it.
func TestEndlessChunkMetadataIsCut(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, script := range map[string][2]string{
		"extension":  {chunked + "1;", "x"},
		"extensions": {chunked, "1;" + strings.Repeat("x", 2000) + "\r\nb\r\n"},
		"size":       {chunked, "0"},
		"trailers":   {chunked + "1\r\nb\r\n0\r\n", "A: b\r\n"},
		"trailer":    {chunked + "1\r\nb\r\n0\r\n", "A"},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			target := startEndpoint(t, endless(script[0], script[1], ended))
			p := NewPool(time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			response, err := p.Do(ctx, target, newRequest("a"))
			must.NoError(t, err)
			n, err := io.Copy(io.Discard, response.Body)
			must.Error(t, err)
			must.NoError(t, ctx.Err(), must.Sprint("the response must be cut before the deadline"))
			must.Less(t, int64(1<<10), n)
			response.Close()
			<-ended
			idle, _ := p.Stats()
			must.Zero(t, idle, must.Sprint("the connection must not be reused"))
		})
	}
}

// Guards against a limit on headers that also counts the body, or that adds up over
// the responses on one connection.
func TestHeadLimitDoesNotCountBodies(t *testing.T) {
	body := strings.Repeat("b", 99)
	target := startEndpoint(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id := readRequest(r)
			if id == "" {
				return
			}
			_, _ = io.WriteString(c, okResponse(id, body))
		}
	})
	p := NewPool(time.Second)
	for range 2 * maxHeadBytes / len(body) {
		got, err := do(t, p, target, "a")
		must.NoError(t, err)
		must.Eq(t, body, got)
	}
	_, dialed := p.Stats()
	must.Eq(t, 1, dialed)
}
