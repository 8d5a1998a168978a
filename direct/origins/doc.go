// Package origins finds the build of a service's software that began a stream that a caller
// takes up again, at any router and also after all routers were restarted. Routers report the
// origins of their streams to their peers, and some of them save all origins in the store.
//
// While all endpoints of a service are of one build, that build is saved, and an unknown stream
// belongs to it; the origins of its streams are then saved less often. The record is replaced
// when the endpoints have been of another build for longer than any stream lasts, so it shows
// a restarted router whether another build was in service shortly before.
//
// Origins owns a streamorigin.Table.
package origins
