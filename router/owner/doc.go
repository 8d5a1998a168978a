// Package owner serves the queues of the services that this router owns. It
// takes tickets from entry routers and reports from agents, and sends the
// grants of coordination/fairqueue to the entry routers.
//
// # Ownership and locks
//
// Owner owns the queues, the send queues that hold grants for entry routers and
// the index built from the current configuration. The locks, none of which is
// held during I/O:
//
//   - Owner.mu guards the table of services. It is taken before a service's mutex.
//   - service.mu guards one queue.
//   - dispatcher.mu guards the send queues. It is never held together with the
//     other locks.
//   - configIndexer.mu guards the building of the configuration index. The
//     configuration's mutex is taken while it is held, none of the above is.
//
// # Dispatch
//
// Grants for one service and entry router go through a send queue, which has at
// most one message in progress; grants made meanwhile share the next message. An
// unresponsive entry router thus occupies at most one worker of the pool per
// service.
package owner
