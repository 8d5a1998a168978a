// Package lifecycle is the state machine of one request. A Request owns its
// state; the table in this package is the only place that says which steps are
// allowed. The package is pure: it uses no clock, no socket and no goroutine.
//
// Two rules carry the promises to callers. A request that may have run is sent
// again only if its operation is idempotent, and it never ends as refused,
// because refused tells the caller that it did not run.
package lifecycle
