// Package httpstatus checks the status of responses. It owns no state.
package httpstatus

import "net/http"

// maxFinal is the highest status of a final response (RFC 9110, section 15).
const maxFinal = 599

// IsFinal reports whether HTTP defines status as that of a final response.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxFinal }
