// Package soak runs routers of the platform as real processes between callers
// and stand-ins, injects random faults from outside them, and checks from what
// callers and endpoints see that the fleet keeps its promises. Its code is in
// test files; docs/soak.md says how to run it.
package soak
