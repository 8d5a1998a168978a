// Package agent implements the process that runs alongside one endpoint. It offers
// the endpoint's slots to the queue owner of its service, accepts requests from
// entry routers, forwards them to the endpoint and meters their cost.
//
// Agent owns the listeners, the background goroutines and the slot table. The
// table is guarded by the mutex of slotTable, which is not held during I/O. If
// the mutex of the configuration store is needed too, it is acquired first.
package agent
