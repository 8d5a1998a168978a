// Package slots holds the tables of one agent: the slot tokens that it offers
// to the queue owner, the requests that it has accepted, and the cost counters
// of its teams. Table owns them all. The package is pure: it opens no sockets,
// starts no goroutines and gets the time passed in. A Table isn't safe for use
// by several goroutines; its owner guards it with one mutex.
//
// A token is valid from the first report that lists it until its lease passes,
// until it is used, or until it is cancelled, whichever comes first. The name
// of a token is never used again, so a token that lapsed during a pause of the
// process stays refused afterwards.
//
// Counters only grow. An owner merges them by maximum, so reports may be lost,
// doubled or reordered.
package slots
