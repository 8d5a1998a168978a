// Package gossip runs the membership protocol between routers. The protocol's
// state machine is in coordination/membership; this package sends its
// messages and responds to them.
//
// # Ownership and locks
//
// Gossip owns the membership table and the timers and goroutines that drive it.
// Its mutex, mu, guards the table and the list of pings that wait to be sent. In
// the lock order it comes after the configuration's mutex and before those of
// the queues. No other lock is taken and no I/O is done while it is held.
package gossip
