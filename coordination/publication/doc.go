// Package publication holds the rule by which every reader of the
// configuration stream derives the same sequence of versions, and the encoding
// of the stream's records. State owns the derived sequence: version, set, next
// offset and recent publication ids. The package uses no sockets, no
// goroutines and no clock.
package publication
