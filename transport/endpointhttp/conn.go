package endpointhttp

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/acaciaspar/acaciaspar/transport/sockpeek"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes; it holds
	// the headers of most answers.
	readBuffer = 2048
	// keepAliveProbe is the idle time and the interval of TCP keep-alive probes.
	keepAliveProbe = time.Second
	// keepAliveCount is the number of unanswered probes that close a connection.
	keepAliveCount = 3
	// unackedLimit closes a connection whose bytes stay unacknowledged, in
	// milliseconds (TCP_USER_TIMEOUT).
	unackedLimit = 2500
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// served is the number of requests sent before.
	served int
	// idleSince is set while the connection is in the pool.
	idleSince time.Time
	// idleLimit is the time after which the endpoint closes the connection.
	idleLimit time.Duration
}

// Dialer opens connections that notice a silent peer.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// The option is an improvement only; keep-alive probes work without it.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unackedLimit)
			})
		},
	}
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	c, err := Dialer(timeout).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

// quiet reports whether an idle connection is open and has no unread bytes.
func (c *conn) quiet() bool {
	return c.reader.Buffered() == 0 && sockpeek.Look(c.Conn) == sockpeek.Quiet
}

// idleLimit reads the timeout of a Keep-Alive header; 0 means not stated.
func idleLimit(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
