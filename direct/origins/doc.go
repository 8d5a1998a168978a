// Package origins keeps the builds that began resumable streams, so that a stream that its caller
// takes up again goes on at the build that wrote its first events, also after all routers were
// killed.
//
// The store holds the implied build of each service. The origin of a stream of another build is
// saved before the caller gets its first event. A stream without a saved origin is therefore of
// the implied build; that is concluded only from a read of the store that began after the caller
// came back and succeeded. While origins can't be saved, new streams begin only at the implied
// build if it has endpoints.
package origins
