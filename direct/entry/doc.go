// Package entry serves callers: it finds the route and the team of a request,
// places it with the dispatcher, sends it to endpoints and returns the answer.
//
// A request moves through unsent, sent (may have run), refused (certainly not
// run) and answered. Only an unsent or refused request is told "not run"; a
// sent one is repeated only if its route allows it. The handler's goroutine
// owns this state; the packages it calls have their own locks.
package entry
