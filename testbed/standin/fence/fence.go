// Package fence checks fencing numbers for the stand-ins of endpoints. A Fence
// owns the highest number seen.
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
	// Checked turns the check on; otherwise numbers are ignored.
	Checked bool

	mu      sync.Mutex
	highest uint64
}

// Wrap refuses requests with an older number (412) or, while numbers are
// checked, without a valid one (428). Refused requests have no effect.
func (f *Fence) Wrap(next http.Handler) http.Handler {
	if !f.Checked {
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
