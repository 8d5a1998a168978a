// Package configfollow keeps a router's configuration up to date. Follower
// reads the configuration stream, takes newer versions from other routers
// where the log doesn't deliver them, answers other processes that ask for the
// configuration, and appends snapshots while this router is selected for it.
// Follower owns the derived state of the stream and the recent change lists;
// the version in force is owned by configstore.
package configfollow
