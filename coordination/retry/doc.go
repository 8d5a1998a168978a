// Package retry decides whether a router may send a request again after an
// unknown outcome. A Budget counts recent requests and retries; callers pass in
// the current time.
//
// In every interval of length Window that ends with a retry, the number of
// retries is at most Floor plus Fraction times the number of requests in that
// interval, so that retries can't amplify an outage.
package retry
