// Package publication implements the acceptance rule by which every reader of
// the configuration topic derives the same sequence of versions, and the
// encoding of the topic's records. State holds what a reader has derived:
// version, set, next offset and recent publication IDs. The package uses no
// sockets, no goroutines and no clock.
package publication
