// Package entry serves callers: it finds the route and the team of a request,
// places it with the dispatcher, sends it to endpoints and returns the response.
//
// A request moves through the states not sent, sent (may have been executed),
// refused (certainly not executed) and completed. Only a request that was not
// sent or was refused is reported as "not run"; a sent one is retried only if
// its route allows it. The handler's goroutine owns this state; the packages it
// calls have their own locks.
package entry
