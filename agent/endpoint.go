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
	// probeInterval is the interval between connection attempts to an
	// unreachable endpoint.
	probeInterval = 250 * time.Millisecond
	// maxResponseHeaderBytes is the maximum size of the header of an endpoint's response.
	maxResponseHeaderBytes = 64 << 10
)

// Headers that the agent sets on requests to the endpoint.
const (
	fencingHeader     = "X-Fencing-Number"
	requestHeader     = "X-Request-Id"
	idempotencyHeader = "Idempotency-Key"
)

var errStartDeadlineExceeded = errors.New("the start limit passed while the connection was opened")

// endpointClient sends requests to the endpoint over HTTP/1.1.
//
// Every request uses a new connection, for two reasons: http.Transport may resend
// a request on its own if it was sent on a reused connection, and a cancelled
// request closes its connection, so that the endpoint detects the cancellation.
type endpointClient struct {
	base      string
	transport *http.Transport
	dialer    *net.Dialer
}

type startDeadlineKey struct{}

func newEndpointClient(base string) *endpointClient {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: endpointDialTimeout}
	return &endpointClient{
		base:   strings.TrimRight(base, "/"),
		dialer: dialer,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return dialBeforeDeadline(ctx, dialer, network, address)
			},
			Protocols:              protocols,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
	}
}

// dialBeforeDeadline opens a connection. It returns errStartDeadlineExceeded if the
// request's start deadline has passed, so that no part of the request is sent.
func dialBeforeDeadline(ctx context.Context, d *net.Dialer, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Value(startDeadlineKey{}).(time.Time); ok && time.Now().After(deadline) {
		_ = conn.Close()
		return nil, errStartDeadlineExceeded
	}
	return newEndpointConn(conn), nil
}

// reachable reports whether the endpoint accepts connections.
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

// isDialError reports whether err means that no connection could be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// markUnreachable stops offering slots until probeUnreachableEndpoint has connected
// to the endpoint.
func (a *Agent) markUnreachable() {
	a.setStop(slots.StopUnreachable, true, "endpoint unreachable")
	select {
	case a.unreachable <- struct{}{}:
	default:
	}
}

// probeUnreachableEndpoint waits until the endpoint is marked unreachable, probes it
// and resumes offering its slots once it accepts connections. If the slots were
// offered in the meantime, they would all appear free, and requests would be
// dispatched to this endpoint instead of to reachable ones.
func (a *Agent) probeUnreachableEndpoint(ctx context.Context) error {
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

// endpointRequest holds the parameters of a request to the endpoint.
type endpointRequest struct {
	header *work.Header
	// incoming is the request from the router.
	incoming *http.Request
	service  *objects.Service
	// fencing is the fencing number if hasFencing is set.
	fencing    uint64
	hasFencing bool
	// startDeadline is the time until which the request may be sent.
	startDeadline time.Time
	// onSend is called when a connection is open, before anything is sent.
	onSend func()
}

// do sends the request. If sent is false, no part of the request was sent.
func (e *endpointClient) do(ctx context.Context, er endpointRequest) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx = context.WithValue(ctx, startDeadlineKey{}, er.startDeadline)
	var conn *endpointConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			conn = endpointConnOf(info.Conn)
			er.onSend()
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { conn.wroteRequest(info.Err) },
	})
	req, err := e.request(ctx, er)
	if err != nil {
		return nil, false, err
	}
	resp, err = e.transport.RoundTrip(req)
	return resp, connected.Load(), err
}

func (e *endpointClient) request(ctx context.Context, er endpointRequest) (*http.Request, error) {
	target, err := url.Parse(e.base + er.header.URI)
	if err != nil {
		return nil, eris.Wrap(err, "build the endpoint's URL")
	}
	req, err := http.NewRequestWithContext(ctx, er.header.Method, target.String(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "build the endpoint's request")
	}
	req.Header = work.EndToEnd(er.header.Forwarded)
	if er.incoming.ContentLength != 0 {
		req.Body = er.incoming.Body
		req.ContentLength = er.incoming.ContentLength
	}
	er.setHeaders(req.Header)
	return req, nil
}

func (er *endpointRequest) setHeaders(h http.Header) {
	// The body is sent without waiting for 100 Continue.
	h.Del("Expect")
	if _, ok := h["User-Agent"]; !ok {
		// An empty value prevents the client from sending its default.
		h.Set("User-Agent", "")
	}
	if er.service.Type == objects.ModelService {
		// The meter parses the response, so it must not be compressed.
		h.Set("Accept-Encoding", "identity")
	}
	h.Set(requestHeader, er.header.Request)
	if h.Get(idempotencyHeader) == "" {
		h.Set(idempotencyHeader, er.header.Request)
	}
	h.Del(fencingHeader)
	if er.hasFencing {
		h.Set(fencingHeader, strconv.FormatUint(er.fencing, 10))
	}
}
