// Package router implements the router process, which consists of these packages:
//
//   - router/entry accepts and owns the requests of this router's callers;
//   - router/owner owns the queues of the services that this router schedules;
//   - router/gossip owns the membership table;
//   - router/configfollow reads publications and owns the sequence of accepted versions;
//   - router/keyclaim owns the table of idempotency keys.
//
// Each of them guards its tables with its own mutexes. No mutex is held during
// I/O or while a function of another package is called, with one exception:
// state/configstore, whose mutex is first in the lock order (configuration,
// membership, queue tables, request table). No other mutex is acquired while it
// is held.
package router
