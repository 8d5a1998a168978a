// Package mesh connects the routers of a fleet that send to endpoints without
// agents. Each router sends load reports to its peers in UDP datagrams and
// serves its copy of the store's records to them. Mesh owns the table of peers
// and evicts those that have sent no report for a long time. No request waits
// for a peer: without reports, a router decides based on its own load only.
package mesh
