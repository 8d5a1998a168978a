// Package bench benchmarks the built binaries. It runs a workload with each
// variant of the settings in turn, measures the overhead of a router and an agent
// compared with direct calls, and measures how the resource usage of the
// processes grows with the size of the fleet.
//
// All traffic uses the loopback interface. Results are comparable only within one
// invocation, because the load of the machine differs between invocations.
//
// A benchmark run owns a fleet.Fleet with its processes, the records of its
// requests and the load samples of its endpoints.
package bench
