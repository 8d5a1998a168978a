// Package sockettest provides listeners for tests whose connections take few bytes that aren't read. It
// owns no state.
package sockettest

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer is the size of the connections' receive buffers in bytes.
	receiveBuffer = 8 << 10
	// segment is the size of segments in bytes. The buffer of the other end is a multiple of it, and that
	// of a usual loopback connection takes several megabytes.
	segment = 536
)

// Listen returns a listener on a local port that is closed at the end of the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			if optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer); optErr == nil {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segment)
			}
		})
		if err != nil {
			return err
		}
		return optErr
	}}
	l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// ServeRequests calls handle with the first request of each connection of l, before its body is read, and
// closes the connection afterwards.
func ServeRequests(l net.Listener, handle func(c *net.TCPConn, in *http.Request)) {
	Serve(l, func(c *net.TCPConn) {
		// A small buffer leaves the body in the socket.
		if in, err := http.ReadRequest(bufio.NewReaderSize(c, 512)); err == nil {
			handle(c, in)
		}
	})
}

// Serve calls serve for each connection of l, and closes the connection afterwards.
func Serve(l net.Listener, serve func(c *net.TCPConn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			serve(c.(*net.TCPConn))
		}()
	}
}
