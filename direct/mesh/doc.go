// Package mesh connects the routers of a fleet that send to endpoints without
// agents. Each router sends its load to all others in datagrams and serves its
// copy of the store's records to them. Mesh owns the table of peers; a peer
// that has long been silent is dropped. Nothing waits for a peer: without
// reports a router decides by its own load alone.
package mesh
