// Package router composes the router process from the packages below it:
//
//   - router/entry owns the requests of this router's callers;
//   - router/owner owns the queues of the services that this router orders;
//   - router/gossip owns the member table;
//   - router/configfollow reads publications and owns the sequence of accepted versions;
//   - router/keyclaim owns the table of idempotency keys.
//
// Each of them guards its tables with its own mutexes. No mutex is held during
// I/O or while a function of another package is called, with one exception:
// state/configstore, whose mutex is a leaf and comes first in the lock order
// (configuration, membership, queue tables, request table).
package router
