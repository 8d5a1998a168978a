// Package bench drives the built binaries with load and measures them. It runs
// a workload against one variant of the settings after the other, measures the
// overhead of the path against direct calls, and measures how the resources of
// the processes grow with the size of the fleet.
//
// All traffic is on the loopback interface, and figures are comparable only
// within one invocation, because the load of the machine changes between two.
//
// A run owns its processes through a fleet.Fleet, the records of its requests
// and the samples of its endpoints.
package bench
