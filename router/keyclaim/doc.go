// Package keyclaim claims idempotency keys for one router in the topic
// acaciaspar.keys of the platform's log. Claimer owns the position in the
// topic, the table of claims read so far, the router's undecided claims and the
// claims that it won.
//
// One goroutine reads the topic and applies the records in the order of their
// offsets. Another appends, one append at a time, so that the claims that
// arrive during an append share the next record. The mutex guards the tables and
// is not held during I/O.
//
// A claim is decided only when its record is read, so the loss of the reply to
// an append is harmless. A claim whose record isn't read within the timeout is
// abandoned: its request ends with the outcome not-run, and if the record is
// read later, the claim is released.
package keyclaim
