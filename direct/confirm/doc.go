// Package confirm asks endpoints which incarnation they are after connections to them broke, so
// that streams which may be resumed aren't joined from two versions of an endpoint's software.
// Reports of endpoints are billed; they are requested only while a stream needs the endpoint.
package confirm
