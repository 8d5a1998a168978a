// Package gossip runs the membership protocol between routers.
//
// # Ownership and locks
//
// Gossip owns the membership table and the time and goroutines around it. Its
// mutex, mu, guards the table and the list of pings that wait to be sent; it
// comes after the configuration's and before the queues' in the lock order, and
// no other lock is taken and no I/O done while it is held.
package gossip
