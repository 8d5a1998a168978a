// Package follow keeps the configuration and the endpoints of this router up
// to date. It long-polls the store and fetches records from peers, so that a
// router that can't reach the store stays current. Follower owns the mirrors
// of both topics; the tables it fills own the configuration and the endpoints
// in force.
package follow
