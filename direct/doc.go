// Package direct composes a router that sends to endpoints itself, without
// agents: the traffic interface (entry), the decisions (dispatch), the follower
// of configuration and endpoints (follow) and the exchange with other routers
// (mesh). It owns the process's listeners and goroutines.
//
// Lock order: follower, mirrors, registry, mesh, dispatcher. No lock is held
// during I/O.
package direct
