package sockpeek

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against reporting a connection as open after its remote end closed it,
// and against consuming the waiting bytes.
func TestPeekReportsStateWithoutReading(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp4", l.Addr().String())
	must.NoError(t, err)
	server, err := l.Accept()
	must.NoError(t, err)
	defer server.Close()
	must.Eq(t, Idle, Peek(server))
	_, err = client.Write([]byte("x"))
	must.NoError(t, err)
	must.True(t, eventually(func() bool { return Peek(server) == Readable }))
	one := make([]byte, 1)
	_, err = server.Read(one)
	must.NoError(t, err)
	must.Eq(t, "x", string(one))
	must.NoError(t, client.Close())
	must.True(t, eventually(func() bool { return Peek(server) == Closed }))
}

func eventually(condition func() bool) bool {
	for range 1000 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
