// Package audit keeps the trails of recent requests: what happened to a
// request, when and where. Trails owns them; the oldest request is dropped when
// the table is full. Every entry is also logged, so that a log collector has
// the trails that this process no longer holds.
package audit
