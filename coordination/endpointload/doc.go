// Package endpointload tracks the load that this router and its peers have put
// on each endpoint, the prompt parts that an engine has likely cached, its
// prefill rate, and whether it responds. Table holds this soft state, which is
// lost on a restart of the router. It reads no clock and does no I/O.
package endpointload
