// Package retry decides whether a router may send a request again after an
// unknown outcome. A Budget owns the counts of recent requests and retries. The
// package is pure: the time is an argument.
//
// In every interval of Window that ends with a retry, the retries are at most
// Floor plus Fraction of the requests in that interval, so that retries can't
// amplify an outage.
package retry
