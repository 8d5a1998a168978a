// Package configfollow keeps a router's configuration up to date. Follower
// reads the configuration topic, fetches newer versions from other routers
// when the log doesn't deliver them, serves the configuration to other
// processes, and appends snapshots while this router is selected to do so.
// Follower owns the state derived from the topic and the recent change lists;
// the current version is owned by configstore.
package configfollow
