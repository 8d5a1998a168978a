// Package requestlimit keeps the limits on requests per second that endpoints have named.
// Table owns this soft state. It reads no clock and does no I/O.
package requestlimit
