// Package entry is the part of a router that accepts requests from callers.
// Server owns each request that it accepts from the first byte to the end of the
// response: the body, the lifecycle state and the tickets at the queue owners. No
// other package sends a request body to an agent.
//
// Server guards its request table, which includes the tickets and the queue
// counts of the teams, with one mutex. The mutex is never held during I/O, and
// the configuration store is read before it is locked.
//
// Each request is served by one goroutine, the one in which net/http calls the
// handler. It waits for a dispatch, sends the body to the agent and copies the
// response, so that a response can't reach another caller's connection. Each
// service with waiting requests has one more goroutine, which sends tickets to
// the queue owner.
package entry
