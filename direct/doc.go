// Package direct assembles and runs a router that sends requests to endpoints
// itself, without agents. It combines the traffic interface (entry), endpoint
// selection (dispatch), the follower of configuration and endpoints (follow)
// and the communication with peers (mesh), and owns the process's listeners
// and goroutines.
//
// Lock order: follower, mirrors, registry, mesh, dispatcher. No lock is held
// during I/O.
package direct
