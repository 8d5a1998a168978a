// Package soak runs platform routers as separate processes between test callers,
// test endpoints and a test store, and injects random faults into the processes
// and their connections. From what callers and endpoints observe, it checks that
// requests are executed and get correct responses and that the fleet recovers. Its
// code is in test files; docs/soak.md says how to run it.
package soak
