// Package agent composes the process that runs beside one endpoint: it offers
// the endpoint's slots to the queue owner of its service, takes requests from
// entry routers, passes them to the endpoint and meters their cost.
//
// Agent owns the listeners, the loops and the table of slots. The table is
// guarded by the mutex of pool, which is not held during I/O and is taken after
// the mutex of the configuration store if both are needed.
package agent
