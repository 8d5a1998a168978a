package entry

import (
	"io"

	"github.com/cespare/xxhash/v2"
)

// fingerprint identifies what the request asks an endpoint to run: a hash of its team,
// method, host, target and body. Repetitions of a request by its caller have the same one,
// while their identifiers differ. It must not be called before the body was read.
func (r *request) fingerprint() uint64 {
	if r.cachedFingerprint == 0 {
		h := xxhash.New()
		for _, part := range []string{r.team, r.in.Method, r.in.Host, r.uri()} {
			_, _ = io.WriteString(h, part)
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write(r.body)
		// Zero stands for no fingerprint.
		r.cachedFingerprint = max(h.Sum64(), 1)
	}
	return r.cachedFingerprint
}
