// Package entry is the part of a router that holds the callers' connections.
// Server owns every request that a caller has made here, from its first byte to
// the end of its answer: the body, the lifecycle state and the tickets at the
// queue owners. It alone sends a body out.
//
// Server has one mutex over its request table, which includes the tickets and
// the queue counts of the teams. It is never held during I/O, and the
// configuration store is read before it is taken.
//
// One goroutine serves one request: the one in which net/http calls the
// handler. It waits for a dispatch, sends the body to the agent and copies the
// answer, so that an answer can't reach another caller's connection. One more
// goroutine per service with waiting requests exchanges tickets with the queue
// owner.
package entry
