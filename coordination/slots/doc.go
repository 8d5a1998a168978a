// Package slots manages the state of one agent: the slot tokens that it offers
// to the queue owner, the requests that it has accepted, and the cost counters
// of its teams. Table holds all of it. The package opens no sockets and starts
// no goroutines, and callers pass in the current time. A Table is not safe for
// concurrent use; callers must guard it with a mutex.
//
// A token is valid from the first report that lists it until its lease expires,
// it is used, or it is cancelled, whichever comes first. Token names are never
// reused, so a token that expired while the process was paused is still refused
// afterwards.
//
// Counters never decrease. An owner merges them by maximum, so reports may be
// lost, duplicated or reordered.
package slots
