// Package warmup decides which routers of a fleet may send requests to an endpoint that has just
// started, and when. Such a cold endpoint sustains few requests per second and crashes above that.
//
// Each cold endpoint has a small set of members, chosen by rendezvous hashing over the addresses of
// the routers, so that routers with the same view of the fleet agree without a message. Each member
// sends a fixed number of requests per second. Two disjoint sets together stay within the bound:
// there are two while the fleet is split, since routers that hear fewer than half of the peers that
// they knew keep the set of the whole fleet.
//
// Table owns this soft state. It reads no clock and does no I/O. docs/design/warm-up.md describes
// the decisions and their reasons.
package warmup
