// Package endpointload tracks what this router and its peers have in progress
// at each endpoint, which prompt parts an engine has read, how fast it reads,
// and whether it answers at all. Table owns this soft state; it reads no clock
// and does no I/O.
package endpointload
