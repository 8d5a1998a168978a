// Package incarnation tracks whether the process behind an endpoint's address is still the one
// that is registered. An endpoint may start again under its identifier, and its entry in the
// store may be out of date. After a connection to it broke or failed, its incarnation is in
// doubt until a newer entry, the endpoint's own report, or a store that has answered for long
// enough since the endpoint was last reached confirms it.
//
// Table owns this soft state. It reads no clock and does no I/O.
package incarnation
