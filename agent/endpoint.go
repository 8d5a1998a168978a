package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
	"github.com/acaciaspar/acaciaspar/protocol/work"
	"github.com/acaciaspar/acaciaspar/state/objects"
)

const (
	endpointDialTimeout = 2 * time.Second
	// probeInterval is the time between two attempts to reach an endpoint that
	// has refused a connection.
	probeInterval = 250 * time.Millisecond
	// maxAnswerHeaderBytes bounds the header of an endpoint's answer.
	maxAnswerHeaderBytes = 64 << 10
)

// Headers that the agent sets on requests to the endpoint.
const (
	fencingHeader     = "X-Fencing-Number"
	requestHeader     = "X-Request-Id"
	idempotencyHeader = "Idempotency-Key"
)

var errStartTooLate = errors.New("the start limit passed while the connection was opened")

// endpointClient passes requests to the endpoint over HTTP/1.1.
//
// Every request gets a connection of its own. The transport then never sends a
// request again by itself, which it may do on a connection that was in use
// before, and the end of a request is the end of its connection, so that the
// endpoint sees every cancellation.
type endpointClient struct {
	base      string
	transport *http.Transport
	dialer    *net.Dialer
}

type startLimitKey struct{}

func newEndpointClient(base string) *endpointClient {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: endpointDialTimeout}
	return &endpointClient{
		base:   strings.TrimRight(base, "/"),
		dialer: dialer,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return dialBeforeLimit(ctx, dialer, network, address)
			},
			Protocols:              protocols,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		},
	}
}

// dialBeforeLimit gives no connection to a request whose start limit has
// passed, so that nothing of it is sent.
func dialBeforeLimit(ctx context.Context, d *net.Dialer, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if limit, ok := ctx.Value(startLimitKey{}).(time.Time); ok && time.Now().After(limit) {
		_ = conn.Close()
		return nil, errStartTooLate
	}
	return conn, nil
}

// reachable reports whether the endpoint takes connections.
func (e *endpointClient) reachable(ctx context.Context) bool {
	target, err := url.Parse(e.base)
	if err != nil {
		return false
	}
	port := target.Port()
	if port == "" {
		port = target.Scheme
	}
	conn, err := e.dialer.DialContext(ctx, "tcp", net.JoinHostPort(target.Hostname(), port))
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// isDialError reports whether no connection could be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// noteUnreachable stops the offering of slots until followEndpoint has reached
// the endpoint.
func (a *Agent) noteUnreachable() {
	a.setStop(slots.StopUnreachable, true, "endpoint unreachable")
	select {
	case a.unreachable <- struct{}{}:
	default:
	}
}

// followEndpoint has slots offered again once an endpoint that refused a
// connection takes them again. Without that pause an endpoint that is down
// would draw requests away from the others, since it seems to be always free.
func (a *Agent) followEndpoint(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.unreachable:
		}
		for ctx.Err() == nil && !a.endpoint.reachable(ctx) {
			sleep(ctx, probeInterval)
		}
		a.setStop(slots.StopUnreachable, false, "endpoint unreachable")
	}
}

// call describes one request to the endpoint.
type call struct {
	header *work.Header
	// incoming is the request from the router.
	incoming *http.Request
	service  *objects.Service
	// fencing is the fencing number, if the agent has one.
	fencing    uint64
	hasFencing bool
	// startLimit is the latest time at which the request may be sent.
	startLimit time.Time
	// onSend runs when a connection is open and before anything is sent.
	onSend func()
}

// do sends the request. sent is false if certainly nothing of it has left.
func (e *endpointClient) do(ctx context.Context, c call) (resp *http.Response, sent bool, err error) {
	var left atomic.Bool
	ctx = context.WithValue(ctx, startLimitKey{}, c.startLimit)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			left.Store(true)
			c.onSend()
		},
	})
	req, err := e.request(ctx, c)
	if err != nil {
		return nil, false, err
	}
	resp, err = e.transport.RoundTrip(req)
	return resp, left.Load(), err
}

func (e *endpointClient) request(ctx context.Context, c call) (*http.Request, error) {
	target, err := url.Parse(e.base + c.header.URI)
	if err != nil {
		return nil, eris.Wrap(err, "build the endpoint's URL")
	}
	req, err := http.NewRequestWithContext(ctx, c.header.Method, target.String(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "build the endpoint's request")
	}
	req.Header = work.EndToEnd(c.header.Forwarded)
	if c.incoming.ContentLength != 0 {
		req.Body = c.incoming.Body
		req.ContentLength = c.incoming.ContentLength
	}
	c.setHeaders(req.Header)
	return req, nil
}

func (c *call) setHeaders(h http.Header) {
	// The body follows without waiting, so there is nothing to expect.
	h.Del("Expect")
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps the client from sending its own.
		h.Set("User-Agent", "")
	}
	if c.service.Type == objects.ModelService {
		// The meter reads the answer, so it must not be compressed.
		h.Set("Accept-Encoding", "identity")
	}
	h.Set(requestHeader, c.header.Request)
	if h.Get(idempotencyHeader) == "" {
		h.Set(idempotencyHeader, c.header.Request)
	}
	h.Del(fencingHeader)
	if c.hasFencing {
		h.Set(fencingHeader, strconv.FormatUint(c.fencing, 10))
	}
}
