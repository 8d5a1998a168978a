// Package loadreport encodes the datagrams with which direct routers tell each other
// their load. Routers send several of them per second to each peer, so that their size
// and the time to decode them grow with the fleet: identifiers are hashes of 32 bits,
// addresses take 6 bytes, counts are varints, and decoding allocates one slice per
// list. Reports of crashes and of limits, which are rare, are datagrams of their own. The
// package owns no state.
package loadreport
