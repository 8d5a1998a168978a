// Package audit keeps the audit trails of recent requests: what happened to a
// request, when and where. Trails holds them and evicts the oldest request when
// it is full. Every entry is also logged, so that a log collector has the trails
// that this process no longer holds.
package audit
