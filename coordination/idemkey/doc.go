// Package idemkey decides which request with an idempotency key may be
// dispatched. It holds the rule that all routers apply to the records of the
// key stream, in the order of their offsets: the first claim of a key wins, a
// claim counts for a window from the moment it was read, and a release ends
// the claim of the request that it names.
//
// Table owns the claims read so far. The package is pure: the time is an
// argument, and reading and appending records is the caller's task.
package idemkey
