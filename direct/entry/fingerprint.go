package entry

import (
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// noFingerprint is the fingerprint of a request whose body was not read yet.
const noFingerprint = 0

// fingerprint identifies what the request asks an endpoint to run: a hash of its team,
// method, host, target and body. Repetitions of a request by its caller have the same one,
// while their identifiers differ. It must not be called before the body was read.
func (r *request) fingerprint() uint64 {
	if r.cachedFingerprint == noFingerprint {
		h := xxhash.New()
		for _, part := range []string{r.team, r.in.Method, r.in.Host, r.uri()} {
			_, _ = io.WriteString(h, part)
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write(r.body)
		r.cachedFingerprint = max(h.Sum64(), noFingerprint+1)
	}
	return r.cachedFingerprint
}

func formatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }
