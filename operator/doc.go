// Package operator holds the subcommands of the operators' tool: check, diff,
// publish, audit, status and version. It owns no state; what it prints is
// derived from the files, the log and the routers at the time of the call.
package operator
