// Package audit keeps the audit trails of recent requests. A trail lists the
// events of one request with their times and attributes. Trails holds them and
// evicts the oldest request when it is full. Every entry is also logged, so that
// a log collector has the trails that this process has evicted.
package audit
