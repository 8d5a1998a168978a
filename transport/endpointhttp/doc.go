// Package endpointhttp speaks HTTP/1.1 to endpoints over connections of its
// own. Unlike a general client it never repeats a request, tells whether any
// byte of a request left the process, matches answers to requests by their
// identifier, and lets a caller refuse connections that have been idle.
//
// Pool owns the idle connections; an Answer owns its connection until it is
// closed.
package endpointhttp
