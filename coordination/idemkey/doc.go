// Package idemkey decides which request with an idempotency key may be
// dispatched. It implements the rule that all routers apply to the records of
// the key topic, in the order of their offsets: the first claim of a key wins,
// a claim is valid for a time window from when it was read, and a release ends
// the claim of the request that it names.
//
// Table holds the claims read so far. The package does no I/O and reads no
// clock: callers pass the time, and read and append the records.
package idemkey
