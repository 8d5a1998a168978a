// Package lifecycle is the state machine of one request. A Request holds its
// state, and the transition table in this package is the only place that defines
// which events are allowed. The package uses no clock, sockets or goroutines.
//
// Two rules enforce the guarantees to callers. A request that may have run is
// sent again only if its operation is idempotent. Such a request also never ends
// as refused, because refused guarantees to the caller that it did not run.
package lifecycle
