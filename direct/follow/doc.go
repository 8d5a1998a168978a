// Package follow keeps the configuration and the endpoints of this router up
// to date: from the store by long reads, and from peers while the store does
// not answer this router. Follower owns the mirrors of both topics; the tables
// that it fills own what is in force.
package follow
