// Package dispatch decides, for one router, which endpoint gets a request. It
// puts the pure packages endpointload, fairshare, placement and retry behind
// one mutex and the process's clock. Dispatcher owns that mutex; it is the
// last in the lock order and is not held during I/O.
package dispatch
