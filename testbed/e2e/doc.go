// Package e2e holds the process tests: sessions of a whole fleet of built
// binaries under faults, with golden files. It owns no state. Run "make build"
// first; "go test ./testbed/e2e -update" rewrites the golden files.
package e2e
