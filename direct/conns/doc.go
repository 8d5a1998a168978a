// Package conns accepts the connections of callers and owns them until their end. It records how
// exchanges on them end: each connection that this process ends while a request on it is
// unanswered has a cause, a counter and a log line.
package conns
