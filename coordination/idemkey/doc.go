// Package idemkey decides which request with an idempotency key may be
// dispatched. It holds the rule that all routers apply to the records of the
// key stream, in the order of their offsets: the first claim of a key wins and
// holds the key for a window, and a release by the same request frees it.
//
// Table owns the claims read so far. The package is pure: the time is an
// argument, and reading and appending records is the caller's task.
package idemkey
