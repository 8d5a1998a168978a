// Package streamorigin remembers which build of a service's software began each resumable
// stream, because only the same build can continue it. Table holds what one router knows, and
// what it has not yet told its peers and not yet saved. It has no goroutines and reads no
// clock.
package streamorigin
