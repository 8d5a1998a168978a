// Package fairqueue orders the requests of one service and grants them the
// slot tokens that agents offer. It uses no goroutines and no sockets, and
// takes the current time as an argument.
//
// # Ownership
//
// A Queue owns the waiting tickets, the accounts of the teams, the offered
// tokens and the grants that no report has settled. All of it is soft state:
// entry routers resend their tickets and agents resend their counters. The
// agents own the counters of charged cost, and store the bases for the next
// owner. The user of a Queue owns the mutex that guards it and does the I/O.
//
// # Virtual time
//
// The account of team i is
//
//	v_i = base_i + sum of its counters / w_i + outstanding hints / w_i
//
// where the outstanding hint of a request is the part of its hint that the
// agent has not metered yet, and the counters grow as the request is metered.
// The backlogged team with the smallest v is served; ties are broken by name. V
// is the largest v that a team had immediately before one of its grants. When a
// team becomes backlogged after an idle period, its base is raised until
// v_i >= V, so that an idle period earns no credit. A team whose ticket was
// waiting throughout is not raised, even if the message that carried the ticket
// was lost or late.
//
// # Fairness bound
//
// Let D be the number of tokens of the service, C the largest cost of one
// request, and n_i the number of requests of team i in progress. Hints are capped
// at C, so no request adds more than C/w_i to v_i or to the counters. Let
// u_i = base_i + sum of the counters / w_i be the account without outstanding
// hints: v_i - n_i*C/w_i <= u_i <= v_i, and u_i never decreases.
//
// Take teams i and j that are both backlogged from time a to time b, and let t
// be the last grant to i before b. At t, v_i <= v_j because i was selected.
// After t, u_i grows by at most the remaining cost of its requests in progress at
// t, including the one just granted. The remaining cost of a request is at most C
// less what was metered, so the sum of it and the request's outstanding hint is
// at most C:
//
//	u_i(b) - u_j(b) <= u_i(t) + remaining_i(t) - u_j(t)
//	                <= remaining_i(t) - hints_i(t) + hints_j(t)
//	                <= n_i*C/w_i + n_j*C/w_j <= D*C/min(w_i, w_j)
//
// The same holds with i and j exchanged, and also if t was before j became
// backlogged, because then v_j was raised to V >= v_i(t). The service S in the
// interval is the growth of u, and the difference may move from one end of this
// range to the other:
//
//	|S_i/w_i - S_j/w_j| <= 2*D*C/min(w_i, w_j)
//
// Both ends are reached when the hints are far too low and all tokens become
// free at the same time (TestBoundIsTight). Late or lost reports delay only the
// part of a counter above a request's hint, which is at most C as well. The queue
// receives a cost with the report that contains it. After a restart of the owner,
// requests that the new owner does not know of yet count in n_i.
//
// The credit limit must be above D*C/min(w), so that it takes effect only when
// counters were lost or a partition heals.
package fairqueue
