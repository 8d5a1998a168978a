// Package fleethttp provides the HTTP/2 servers and clients for traffic between
// the processes of a fleet. HTTP/2 pings detect unresponsive connections. The
// package owns no state; a client owns its connections.
package fleethttp

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	// PingAfter is the time without traffic after which a ping is sent on a connection.
	PingAfter = time.Second
	// PingTimeout is the time after which a connection with an unanswered ping is closed.
	PingTimeout = time.Second

	dialTimeout       = time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// clientIdleTimeout is the time after which a client closes a connection
	// without requests. Every open connection costs a ping per second, and a
	// router may hold connections to all agents of the fleet.
	clientIdleTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// maxStreams is the maximum number of requests in progress per connection.
	maxStreams = 10_000
)

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      PingAfter,
		PingTimeout:          PingTimeout,
		// A connection on which writes make no progress is closed as well.
		WriteByteTimeout: PingAfter + PingTimeout,
	}
}

// NewServer returns a server for traffic between processes. If tlsConfig is nil
// it serves HTTP/2 without TLS.
func NewServer(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	protocols := new(http.Protocols)
	if tlsConfig == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	return &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		Protocols:         protocols,
		HTTP2:             http2Config(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve serves l until the server is shut down, with TLS if s.TLSConfig is set.
func Serve(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}

// NewClient returns a client for traffic between processes. If tlsConfig is nil
// it uses HTTP/2 without TLS. It doesn't follow redirects.
func NewClient(tlsConfig *tls.Config) *http.Client {
	protocols := new(http.Protocols)
	if tlsConfig == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     tlsConfig,
			TLSHandshakeTimeout: dialTimeout,
			Protocols:           protocols,
			HTTP2:               http2Config(),
			DisableCompression:  true,
			IdleConnTimeout:     clientIdleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Scheme returns the URL scheme of calls between processes: "http" if tlsConfig
// is nil, otherwise "https".
func Scheme(tlsConfig *tls.Config) string {
	if tlsConfig == nil {
		return "http"
	}
	return "https"
}
