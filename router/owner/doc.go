// Package owner serves the queues of the services that this router owns. It
// takes tickets from entry routers and reports from agents, and sends the
// grants of coordination/fairqueue to the entry routers.
//
// # Ownership and locks
//
// Owner owns the queues, the lanes that carry grants to entry routers and the
// lookup tables made from the configuration in force. The locks, none of which
// is held during I/O:
//
//   - Owner.mu guards the table of services. It comes before a service's mutex.
//   - service.mu guards one queue.
//   - dispatcher.mu guards the lanes. It is a leaf and not held with the others.
//   - planner.mu guards the making of the lookup tables. It is held while the
//     configuration's mutex is taken and with none of the above.
//
// # Dispatch
//
// Grants for one service and entry router go through a lane, which has at most
// one message in progress; grants made meanwhile share the next one. A silent
// entry router thus holds one worker of the pool at most per service.
package owner
