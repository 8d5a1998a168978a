// Package routing holds the configuration that operators publish for direct
// routing: routes, services, teams and limits. Table is an immutable, compiled
// configuration; Store holds the current table, whose version never decreases.
package routing
