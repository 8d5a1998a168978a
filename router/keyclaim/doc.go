// Package keyclaim claims idempotency keys for one router in the stream
// acaciaspar.keys of the platform's log. Claimer owns the position in the
// stream, the table of claims read so far, the router's claims that are not
// decided and the claims that it won.
//
// One goroutine reads the stream and applies the records in the order of their
// offsets. Another appends, one append at a time, so that the claims that
// arrive meanwhile share the next record. The mutex guards the tables and is
// not held during I/O.
//
// A claim is decided only when the reader meets its record. So a lost reply to
// an append does no harm, and a claim whose record isn't found in time is given
// up: its request is told not-run, and if the record turns up later, it is
// released.
package keyclaim
