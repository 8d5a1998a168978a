// Package endpointhttp is an HTTP/1.1 client for endpoints. Unlike net/http it
// never retries a request, reports whether any byte of a request was sent,
// matches responses to requests by their identifier, and lets each request
// limit the idle time of a reused connection.
//
// Pool owns the idle connections; a response owns its connection until it is
// closed.
package endpointhttp
