// Package membership detects the failure of routers and spreads what it finds
// in the way of SWIM. It uses no goroutines and no sockets; the time is passed
// in, and the caller carries out the actions.
//
// # Ownership
//
// A Table owns this router's view of the members and the queue of updates to
// piggyback. Each member owns its own entry: only the member raises its
// incarnation number, to refute a suspicion or to say that it is leaving.
//
// # Precedence
//
// An update replaces an entry if its incarnation is higher, or if it is equal
// and its state comes later in Alive, Suspect, Leaving, Dead. The first
// incarnation of a process is the time of its start, so a restart at the same
// address supersedes the instance before. If the clock went back, the new
// process hears of the old entry and goes above it.
//
// # Detection
//
// Every period one member is pinged, in a random order that is shuffled after
// each round. A member that answers neither directly nor through helpers is
// suspected, and pinged again every period by those that suspect it, so that it
// can refute. After SuspicionTime it is dead. Dead members, members forgotten
// after ForgetAfter and seeds are probed now and then, so that partitions heal.
//
// The whole table travels at first contact and from time to time. After a
// partition both sides hold the other's members dead at the incarnation at
// which they are alive. Such a difference decides nothing; the member is pinged
// first, and refutes if it lives.
package membership
