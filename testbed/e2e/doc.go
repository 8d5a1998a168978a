// Package e2e contains the end-to-end tests. They run a whole fleet of built
// binaries, inject faults and compare output with golden files. Run "make build"
// first; "go test ./testbed/e2e -update" rewrites the golden files.
package e2e
