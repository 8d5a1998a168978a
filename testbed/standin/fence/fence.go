// Package fence checks the fencing numbers of requests to endpoint stand-ins. A
// Fence owns the highest number seen.
package fence

import (
	"net/http"
	"strconv"
	"sync"
)

// Header carries the fencing number of the agent that sends the request.
const Header = "X-Fencing-Number"

// Fence is safe for use by several goroutines.
type Fence struct {
	// Enabled turns on the check. Without it, fencing numbers are ignored.
	Enabled bool

	mu      sync.Mutex
	highest uint64
}

// Wrap returns a handler that rejects requests whose fencing number is lower
// than the highest one seen (412), or that carry no valid number (428). Rejected
// requests have no effect. If the check is disabled, it returns next.
func (f *Fence) Wrap(next http.Handler) http.Handler {
	if !f.Enabled {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		number, err := strconv.ParseUint(r.Header.Get(Header), 10, 64)
		if err != nil {
			http.Error(w, "a valid "+Header+" is required", http.StatusPreconditionRequired)
			return
		}
		if !f.admit(number) {
			http.Error(w, "a newer fencing number was seen", http.StatusPreconditionFailed)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (f *Fence) admit(number uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number < f.highest {
		return false
	}
	f.highest = number
	return true
}
