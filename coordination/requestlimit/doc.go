// Package requestlimit divides the limits on requests per second that endpoints name
// between the routers of a fleet.
//
// A limit holds for all routers together. Each router sends its share at a steady rate:
// the limit times its part of the fleet's requests, as the routers report them to each
// other. If there are more routers than a limit allows to have a request of their own in
// reserve, only the busiest ones use the endpoint.
//
// Table owns this soft state. It reads no clock and does no I/O.
package requestlimit
