package endpointhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a request with a long body that is ended because its endpoint, whose host answers
// on the network, reads nothing of the body for a while.
func TestPausedReceiverOfALongBodyIsAwaited(t *testing.T) {
	const (
		// bodySize is far above what the sockets' buffers take.
		bodySize = 16 << 20
		// pause is longer than the time that data may stay unacknowledged.
		pause = userTimeoutMs*time.Millisecond + time.Second
	)
	for name, size := range map[string]int{"1 MiB": 1 << 20, "16 MiB": bodySize} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := startEndpoint(t, func(c net.Conn, r *bufio.Reader) {
				in, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				time.Sleep(pause)
				if n, err := io.Copy(io.Discard, in.Body); err != nil || n != in.ContentLength {
					return
				}
				_, _ = io.WriteString(c, okResponse(in.Header.Get("Id"), "one"))
			})
			request := newRequest("a")
			request.Body = bytes.Repeat([]byte("x"), size)
			ctx, cancel := context.WithTimeout(t.Context(), 2*pause)
			defer cancel()
			began := time.Now()
			response, err := NewPool(time.Second).Do(ctx, target, request)
			must.NoError(t, err, must.Sprint("after ", time.Since(began)))
			defer response.Close()
			body, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			must.Eq(t, "one", string(body))
		})
	}
}
