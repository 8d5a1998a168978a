// Package membership detects failed routers and disseminates membership
// changes with a SWIM gossip protocol. It uses no goroutines and no sockets;
// callers pass in the current time and send the messages.
//
// # Ownership
//
// A Table holds this router's view of the members and the queue of updates to
// piggyback on messages. Only a member itself raises its incarnation number, to
// refute a suspicion or to announce that it is leaving.
//
// # Precedence
//
// An update replaces an entry if its incarnation is higher, or if the
// incarnations are equal and its state comes later in the order Alive, Suspect,
// Leaving, Dead. The first incarnation of a process is its start time, so a
// process restarted at the same address supersedes the earlier instance. If the
// clock was set back, the new process receives the old entry and raises its
// incarnation above it.
//
// # Detection
//
// Every period one member is pinged, in a random order that is reshuffled after
// each round. A member that responds to neither a direct ping nor indirect pings
// through helpers becomes suspect. The routers that suspect it ping it again in
// every period, so that it can refute. After SuspicionTime it is dead. Dead
// members, members evicted after DeadRetention and seeds are probed
// periodically, so that partitions heal.
//
// Routers exchange the full table at first contact and periodically. After a
// partition, each side lists the other side's members as dead at the same
// incarnation at which they are alive. Such a conflict does not change an entry;
// the member is pinged first, and refutes if it is alive.
package membership
