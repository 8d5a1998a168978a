// Package operator implements the subcommands of the operators' tool: check, diff,
// publish, audit, status and version. It keeps no state; its output is derived from
// the files, the log and the routers at the time of the call.
package operator
