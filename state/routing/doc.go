// Package routing holds what operators publish for direct routing: routes,
// services, teams and limits. Table is an immutable, compiled configuration;
// Store owns the table in force, whose version only grows.
package routing
