// Package fleethttp gives the processes of a fleet their HTTP/2 servers and
// clients. Pings on idle connections find connections that went silent. The
// package owns no state; a client owns its connections.
package fleethttp

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	// PingAfter is the time without traffic after which a connection is pinged.
	PingAfter = time.Second
	// PingTimeout is the time after which a connection without an answer to a ping is closed.
	PingTimeout = time.Second

	dialTimeout       = time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// clientIdleTimeout closes connections that carry no request. Every open one
	// is pinged each second, and a router sends to any of the fleet's agents.
	clientIdleTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// maxStreams bounds the requests in progress per connection.
	maxStreams = 10_000
)

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      PingAfter,
		PingTimeout:          PingTimeout,
		// Writes that make no progress end the connection as well.
		WriteByteTimeout: PingAfter + PingTimeout,
	}
}

// NewServer returns a server for traffic between processes. Without tlsConfig
// it speaks HTTP/2 without TLS.
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

// Serve serves l until the server is shut down, with TLS if the server has it.
func Serve(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}

// NewClient returns a client for traffic between processes.
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

// Scheme returns the URL scheme of calls between processes.
func Scheme(tlsConfig *tls.Config) string {
	if tlsConfig == nil {
		return "http"
	}
	return "https"
}
