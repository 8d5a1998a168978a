// Package dispatch decides, for one router, which endpoint gets a request. It
// combines the packages endpointload, fairshare, placement and retry, which
// neither lock nor read the clock, under one mutex. Dispatcher owns that mutex;
// it is the last in the lock order and is not held during I/O.
package dispatch
