// Package fairqueue orders the requests of one service and grants them the
// slot tokens that agents offer. It uses no goroutines and no sockets; the
// time is passed in.
//
// # Ownership
//
// A Queue owns the waiting tickets, the accounts of the teams, the offered
// tokens and the grants that no report has settled. All of it is soft state:
// entry routers resend their tickets and agents resend their counters. The
// agents own the counters of charged cost, and keep the bases for the next
// owner. The user of a Queue owns the mutex that guards it and does the I/O.
//
// # Virtual time
//
// The account of team i is
//
//	v_i = base_i + sum of its counters / w_i + outstanding hints / w_i
//
// where the outstanding part of a request is its hint until the agent has
// metered as much, and the counters are charged as the request is metered. The
// backlogged team with the smallest v is served; ties are broken by name. V is
// the largest v that a team had right before one of its grants. A team that
// becomes backlogged after a time without waiting tickets gets its base raised
// until v_i >= V: a time without work earns no credit. A team whose ticket
// waited all along isn't raised, whatever happened to the message that
// carried the ticket.
//
// # Fairness bound
//
// Let D be the number of tokens of the service, C the largest cost of one
// request, and n_i the requests of team i in progress. Hints are cut to C, so
// no request adds more than C/w_i to v_i or to the counters. Let
// u_i = base_i + sum of the counters / w_i be the account without outstanding
// hints: v_i - n_i*C/w_i <= u_i <= v_i, and u_i only grows.
//
// Take teams i and j that are both backlogged from time a to time b, and let t
// be the last grant to i before b. At t the rule gives v_i <= v_j. After t, u_i
// grows by at most the rest of the requests that are in progress at t with the
// one just granted. The rest of a request is at most C less what was metered, so
// it and the request's outstanding hint stay within C together:
//
//	u_i(b) - u_j(b) <= u_i(t) + rest_i(t) - u_j(t)
//	                <= rest_i(t) - hints_i(t) + hints_j(t)
//	                <= n_i*C/w_i + n_j*C/w_j <= D*C/min(w_i, w_j)
//
// The same holds with i and j exchanged, and also if t was before j became
// backlogged, because then v_j was raised to V >= v_i(t). The service in the
// interval is the growth of u, and the difference may go from one end of this
// range to the other:
//
//	|S_i/w_i - S_j/w_j| <= 2*D*C/min(w_i, w_j)
//
// Both ends are reached when the hints are far too low and all tokens become
// free at the same time (TestBoundIsTight). Reports that arrive late or get
// lost delay only the part of a counter above a request's hint, which is within
// C as well. A cost is known to the queue when a report brings it; requests
// that an owner doesn't know of yet, after a restart of the owner, count in n_i.
//
// The credit limit must be above D*C/min(w), so that it acts only when counters
// were lost or a partition heals.
package fairqueue
