package entry

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
)

// Guards against a process without CPU time that reports reachable endpoints as
// unreachable, because it sees completed connections only after their timeouts.
func TestOwnLatenessIsNoEvidenceAgainstEndpoints(t *testing.T) {
	const limit = 250 * time.Millisecond
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for _, c := range []struct {
		err      error
		duration time.Duration
		want     bool
	}{
		{timeout, limit + 5*time.Millisecond, true},
		{timeout, limit + 70*time.Millisecond, false},
		{refused, limit + 70*time.Millisecond, true},
		{errDeadlinePassed, time.Millisecond, false},
		{errEndpointGone, time.Millisecond, false},
		{errors.New("other"), time.Second, true},
	} {
		a := &attempt{err: &endpointhttp.NotSentError{Err: c.err}, duration: c.duration, dialTimeout: limit}
		must.Eq(t, c.want, a.provesUnreachable(), must.Sprint(c.err, c.duration))
	}
}
